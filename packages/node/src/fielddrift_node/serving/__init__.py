"""Serve requests on the event loop: entry, relay, shared views and duties.

The wire protocols of callers, targets and the platform are implemented by adapters, through the
interfaces in `ports`.
"""
