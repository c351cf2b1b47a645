"""Measure fielddrift: decisions in virtual time, the relay, and the slopes."""
