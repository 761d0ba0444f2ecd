"""Digests of documents, to tell a repeated request from another document under the same id.

A client's repeat has the same type, destination, key and body; the time that is left differs.
"""

from __future__ import annotations

import binascii
import hashlib

DIGEST_BYTES = 5  # a collision of one id's documents is no attack: whoever sends the second knows no body
DIGEST_CHARACTERS = 6  # in base64, without what exceeds them
UNKNOWN = ""  # the digest of a document whose record is from a version without digests


def digest(kind: str, destination: int, key: str | None, body: bytes) -> str:
    """Returns the digest of a document's content."""
    fields = "\0".join((kind, str(destination), key or "")).encode()
    raw = hashlib.blake2b(fields + b"\0" + body, digest_size=DIGEST_BYTES).digest()
    return binascii.b2a_base64(raw, newline=False)[:DIGEST_CHARACTERS].decode("ascii")


def may_be_same(first: str, second: str) -> bool:
    """Returns whether two digests may be of the same document."""
    return UNKNOWN in (first, second) or first == second
