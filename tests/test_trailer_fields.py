"""Trailers of a response are not taken for fields of its head.

Failure: the own interface's HTTP client wrote trailers over the head's fields.  A call that ran
was reported as not started, and its answer got another content type.
"""

from __future__ import annotations

import unittest

from fielddrift_node.http_client import Call, HttpClient
from fielddrift_node.targets import proved_not_started

from .scripted_target import ScriptedTarget

_ANSWER = (
    b"HTTP/1.1 500 Failed\r\nContent-Type: text/plain\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"3\r\nran\r\n0\r\nX-Started: no\r\nContent-Type: application/json\r\n\r\n"
)


class TrailerFieldsTest(unittest.TestCase):
    def test_trailers_do_not_replace_fields_of_the_head(self) -> None:
        http = HttpClient()
        self.addCleanup(http.close)
        server = ScriptedTarget(script=[[_ANSWER]])
        self.addCleanup(server.close)
        reply = http.request(Call("GET", server.url))
        self.assertEqual(reply.body, b"ran")
        self.assertEqual(reply.headers["content-type"], "text/plain")
        self.assertFalse(proved_not_started(reply))
