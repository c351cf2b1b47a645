"""HTTP/1.1 on the asyncio event loop: a server for callers and a client for targets.

httptools (the llhttp parser) parses requests and responses.  This package adds
framing, connection reuse, timeouts and the detection of truncated responses.
"""
