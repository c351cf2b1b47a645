"""Speak HTTP/1.1 on the event loop, towards callers and towards targets.

httptools (the llhttp parser) reads both sides; what is here is framing,
connection reuse, time limits and telling a cut answer from a whole one.
"""
