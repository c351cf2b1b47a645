"""Decide what fielddrift does, without any I/O.

Modules here open no socket, start no thread, read no clock and draw no random
number.  Time, randomness and messages come in as arguments; decisions go out
as values.
"""
