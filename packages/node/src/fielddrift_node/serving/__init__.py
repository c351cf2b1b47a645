"""Serve requests on the event loop: entry, relay, shared views and duties.

What is spoken with callers, targets and the platform comes in through the
protocols of `ports`.
"""
