"""What a request holds, as one number: the same each time it comes, under any id and at any node. Pure."""

from __future__ import annotations

import xxhash


def content_digest(host: str, target: str, caller: str, body: bytes) -> str:
    """Return the digest of a request's address, caller and body in hexadecimal.

    ``target`` is path and query, ``caller`` names who sends it: its tenant, or its credential without one. Nothing
    that changes from one sending to the next is part of it: not the request's id, its deadline or where it resumes.

    128 bits: no two requests of a fleet's life share a digest by chance. A caller who seeks two that do finds them
    among its own requests only.
    """
    digest = xxhash.xxh3_128()
    for text in (host, target, caller):
        encoded = text.encode()
        digest.update(len(encoded).to_bytes(4, "big"))
        digest.update(encoded)
    digest.update(body)
    return digest.hexdigest()
