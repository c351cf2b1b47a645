"""Run fielddrift on an entry host: one daemon, the same on every host."""
