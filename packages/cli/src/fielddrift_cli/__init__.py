"""Let operators ask and command from a terminal or a script."""
