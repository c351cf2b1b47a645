"""Soak the real programs in faults, and check what callers and targets see."""
