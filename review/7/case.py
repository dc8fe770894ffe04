"""A tenant becomes isolated by a new configuration; other tenants go on using what it left in the engines."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))

from rig import (  # noqa: E402
    ENGINES,
    MODEL,
    TROUBLE,
    CannotRunError,
    Record,
    Request,
    Router,
    Store,
    Worker,
    configuration,
    engine_service,
    main,
    route,
    send,
)


class Engine(Worker):
    """An engine that keeps the parts of prompts as the pages say: found only under the text that stored them, and
    only if all parts before them are kept."""

    def __init__(self, store: Store, record: Record, identity: str) -> None:
        super().__init__(store, record, identity, ENGINES)
        self.kept: dict[tuple[str, tuple[str, ...]], str] = {}
        """Tenant whose request made a part, by salt and the parts up to it."""
        self.uses: list[tuple[str, str, str]] = []
        """Request, its tenant, and the other tenant whose part it used."""

    async def run(self, request: Request, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        identity, tenant, salt = (request.get(name) for name in ("X-Request-Id", "X-Tenant", "X-Cache-Salt"))
        parts = tuple(part.partition(":")[0] for part in request.get("X-Prefix-Hash").split(","))
        found, reads = [], False
        for end in range(1, len(parts) + 1):
            key = (salt, parts[:end])
            reads = reads or key not in self.kept
            if reads:
                self.kept[key] = tenant
            else:
                found.append(f"{parts[end - 1]} made by {self.kept[key]}")
                if self.kept[key] != tenant:
                    self.uses.append((identity, tenant, self.kept[key]))
        self.record(
            f"{self.identity}: runs {identity} of tenant {tenant}, salt {salt!r}; uses {found or 'nothing'}"
        )
        await asyncio.sleep(0.02)
        writer.write(
            "".join(
                [
                    "HTTP/1.1 200 OK\r\n",
                    *(f"{k}: {v}\r\n" for k, v in self.head(request, Content_Type="text/event-stream").items()),
                    "Transfer-Encoding: chunked\r\n\r\n",
                ]
            ).encode()
        )
        for number in (1, 2):
            event = f"id: {number}\ndata: {identity}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


def tenants(is_isolated: bool) -> list[dict[str, object]]:
    clinic: dict[str, object] = {"name": "clinic", "api_keys": ["key-of-the-clinic"], "priority": 1}
    return [
        {**clinic, "isolated": True} if is_isolated else clinic,
        {"name": "kiosk", "api_keys": ["key-of-the-kiosk"], "priority": 1},
    ]


async def case(record: Record, folder: Path, routers: list[Router]) -> bool:
    store = Store(record)
    await store.start("127.2.3.1")
    engines = [Engine(store, record, f"i-engine-{number}") for number in (1, 2)]
    for number, engine in enumerate(engines, start=1):
        await engine.start(f"127.2.2.{number}")
        engine.write_entry()
    routes = [route("check", "/check/", "stream", ENGINES)]
    services = [engine_service()]
    store.put("op", f"version/{MODEL}", {"model": MODEL, "version": 1})
    store.put("op", "config", configuration(3, tenants(False), routes, services))
    for number in (1, 2):
        routers.append(Router(f"front-{number}", f"127.2.1.{number}", store.address, folder, record))
        await routers[-1].start()
    for router in routers:
        await router.until_ready()
    await asyncio.sleep(3.0)

    sent = 0

    async def ask(tenant: str, own_part: str) -> None:
        nonlocal sent
        sent += 1
        identity = f"{sent:016x}"
        headers = {
            "X-Model": MODEL,
            "X-Token-Usage": "1460,80",
            "X-Prefix-Hash": f"5c1e07a2:800,91bd3f06:410,{own_part}:250",
            "X-Credential": f"key-of-the-{tenant}",
        }
        record(f"client of {tenant} sends {identity}")
        answer = await send(routers[sent % 2].front, "POST", "/check/1", identity, headers, b"prompt")
        record(f"client of {tenant} gets {answer}")
        if answer.status != 200:
            raise CannotRunError("a request was not served")

    for number in range(8):
        await ask("clinic", f"c{number:07x}")
    if TROUBLE:
        store.put("op", "config", configuration(7, tenants(True), routes, services))
    else:
        store.put("op", "config", configuration(7, tenants(False), routes, services))
    await asyncio.sleep(4.0)  # Twice config_apply_ms.
    for engine in engines:
        engine.uses.clear()
    for number in range(8):
        await ask("kiosk", f"d{number:07x}")
    foreign = [use for engine in engines for use in engine.uses if "clinic" in use[1:]]
    for identity, tenant, maker in foreign:
        record(f"{identity} of {tenant} used KV cache that a request of {maker} made")
    record(f"{len(foreign)} uses by others of parts that the clinic made; the clinic is isolated: {TROUBLE}")
    return TROUBLE and bool(foreign)


main(case, FOLDER)
