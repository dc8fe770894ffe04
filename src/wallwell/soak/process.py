"""Entry point of a run's own processes: ``python -m wallwell.soak.process KIND SETTINGS``.

Each kind imports only what it needs, which keeps a run of 40 processes within its memory.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

import msgspec


async def _serve(kind: str, settings: bytes) -> None:
    """Run one process; each imports only what it needs, which keeps a run of 40 within its memory."""
    if kind == "store":
        from wallwell.soak.store_process import StoreProcess, StoreSettings

        store = StoreProcess(msgspec.json.decode(settings, type=StoreSettings))
        await store.start()
        await asyncio.Event().wait()
    elif kind == "proxy":
        from wallwell.soak.proxy import ProxyProcess

        proxy = ProxyProcess()
        await proxy.start()
        await asyncio.Event().wait()
    elif kind == "worker":
        from wallwell.soak.worker_process import SoakWorker
        from wallwell.soak.worker_settings import WorkerSettings

        await SoakWorker(msgspec.json.decode(settings, type=WorkerSettings)).run()
    elif kind == "kv_store":
        from wallwell.soak.kv_store_process import KvStoreSettings, serve_kv_store

        await serve_kv_store(msgspec.json.decode(settings, type=KvStoreSettings))
    elif kind == "callers":
        from wallwell.soak.caller_process import CallerProcess, CallerSettings

        await CallerProcess(msgspec.json.decode(settings, type=CallerSettings)).run()
    elif kind == "kept_callers":
        from wallwell.soak.kept_caller_process import KeptCallerProcess, KeptCallerSettings

        await KeptCallerProcess(msgspec.json.decode(settings, type=KeptCallerSettings)).run()
    else:
        raise ValueError(f"no process of kind {kind}")


if __name__ == "__main__":
    asyncio.run(_serve(sys.argv[1], Path(sys.argv[2]).read_bytes()))
