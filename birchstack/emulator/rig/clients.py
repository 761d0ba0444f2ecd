"""Clients of a rig that keep their connections open between requests.

A request goes over an idle connection, or over a new one if all are busy. A connection that has carried an
answer may end just as the next request is written to it: that request is sent once more, on a new connection.
"""

from __future__ import annotations

from collections import defaultdict

import httptools

from birchstack.emulator.rig.parties import Clients, SubmittedDocument


class PersistentClients(Clients):
    """Submits documents over connections that stay open until the sender ends them."""

    def __init__(self, stage, where) -> None:
        super().__init__(stage, where)
        self.idle: dict[str, list[PersistentConnection]] = defaultdict(list)  # by sender
        self.opened = 0

    def hand_in(
        self, sender: str, doc: str, destination: int = 1, kind: str = "sync", left_ms: int = 8000
    ) -> SubmittedDocument:
        """Submits a document to a sender."""
        document = self.handed[doc] = SubmittedDocument(doc, sender, destination, self.stage.now_ms(), kind)
        request = (
            f"POST /{kind} HTTP/1.1\r\nHost: api\r\nRequest-Id: {doc}\r\nRequest-Timeout-Ms: {left_ms}\r\n"
            f"X-Consignee: dest={destination}\r\nContent-Length: 5\r\n\r\nhello"
        ).encode()
        if self.idle[sender]:
            self.idle[sender].pop().send(document, request)
        else:
            self.connect(document, request)
        return document

    def connect(self, document: SubmittedDocument, request: bytes) -> None:
        """Opens a connection for a request."""
        self.opened += 1
        connection = PersistentConnection(self, document.sender)
        connection.send(document, request)
        self.stage.reach(self._where(document.sender), connection, lambda: connection.ended(True))


class PersistentConnection:
    """The client's end of one connection; carries one request at a time."""

    def __init__(self, clients: PersistentClients, sender: str) -> None:
        self._clients = clients
        self._sender = sender
        self._parser = httptools.HttpResponseParser(self)
        self._document: SubmittedDocument | None = None
        self._request = b""
        self._answers = 0
        self._gone = False
        self.port = None

    def send(self, document: SubmittedDocument, request: bytes) -> None:
        """Sends a request, as soon as the connection is established."""
        self._document = document
        self._request = request
        if self.port is not None:
            self.port.write(request)

    def opened(self, port) -> None:
        """Sends the request that waits."""
        self.port = port
        port.write(self._request)

    def received(self, data: bytes) -> None:
        """Parses answers; bytes that answer no request end the connection."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.port.close()
            self.ended(True)

    def on_message_complete(self) -> None:
        """Records the answer; the connection is idle then, unless it was the last one."""
        document = self._document
        self._document = None
        if document is None:
            return
        self._answers += 1
        self._clients.record_answer(document, self._parser.get_status_code())
        if self._parser.should_keep_alive() and not self._gone:
            self._clients.idle[self._sender].append(self)

    def ended(self, reset: bool) -> None:
        """Sends the request in progress once more if it may have crossed the end of the connection."""
        if self._gone:
            return
        self._gone = True
        if self in self._clients.idle[self._sender]:
            self._clients.idle[self._sender].remove(self)
        if self.port is not None and not reset:
            self.port.close()
        if self._document is None:
            return
        if self._answers:
            self._clients.connect(self._document, self._request)
        else:
            self._clients.record_answer(self._document, -1)
