"""The decision logic of fielddrift, without any I/O.

Modules here open no socket, start no thread, read no clock and generate no random
numbers.  Time, random generators and messages are arguments; decisions are return
values.
"""
