"""Digest of a request's content: equal whenever the same request is sent again, to any node, under any id. Pure."""

from __future__ import annotations

import xxhash


def content_digest(host: str, target: str, caller: str, body: bytes) -> str:
    """Return the digest of a request's address, caller and body in hexadecimal.

    ``target`` is path and query, ``caller`` the tenant that sends the request, or the credential if there is no
    tenant. The digest excludes what differs between retries: the request's id, its deadline and where it resumes.

    With 128 bits, no two requests in the lifetime of a fleet share a digest by chance. A caller who constructs two
    that do can only do so among its own requests.
    """
    digest = xxhash.xxh3_128()
    for text in (host, target, caller):
        encoded = text.encode("utf-8", "surrogateescape")  # Bytes of a caller need not be UTF-8.
        digest.update(len(encoded).to_bytes(4, "big"))
        digest.update(encoded)
    digest.update(body)
    return digest.hexdigest()
