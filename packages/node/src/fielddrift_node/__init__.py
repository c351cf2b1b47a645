"""The fielddrift daemon, which is the same on every entry host."""
