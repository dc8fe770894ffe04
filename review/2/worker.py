"""A worker in a process of its own, whose answers have neither a length nor chunks and end with their connection.

Arguments: identity, host, port (0: any), seconds between two pieces, pieces of an answer. Prints its address, then
each piece that it has sent. SIGUSR1: it leaves (`Server-Leaving: 1` in its answers). SIGTERM: it ends once its
answers are out.
"""

from __future__ import annotations

import asyncio
import signal
import sys

from standins import address_of, encode, read_message


async def main(identity: str, host: str, port: int, pause_s: float, pieces: int) -> None:
    leaving, ending = asyncio.Event(), asyncio.Event()
    running = 0

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal running
        try:
            while True:
                first, headers, _ = await read_message(reader)
                request_id = headers.get("x-request-id", "")
                own: dict[str, object] = {"X-Request-Id": request_id, "X-Instance-Id": identity}
                if leaving.is_set():
                    own["Server-Leaving"] = 1
                if headers.get("x-expect-instance", identity) != identity:
                    refusal = {**own, "X-Not-Run": 1, "Content-Length": 0}
                    writer.write(encode("HTTP/1.1 421 Misdirected Request", refusal))
                    continue
                running += 1
                try:
                    is_stream = "/chat/" in first
                    kind = "text/event-stream" if is_stream else "text/plain"
                    own |= {"X-Response-Seal": f"seal.{identity}.{request_id}", "Content-Type": kind}
                    own["Connection"] = "close"
                    writer.write(encode("HTTP/1.1 200 OK", own))
                    for number in range(1, pieces + 1):
                        await asyncio.sleep(pause_s)
                        text = f"{request_id} {number}"
                        piece = f"id: {number}\ndata: {text}\n\n" if is_stream else f"{text};"
                        writer.write(piece.encode())
                        print(f"{request_id} {number}", flush=True)
                finally:
                    running -= 1
                return
        except (EOFError, OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGUSR1, leaving.set)
    loop.add_signal_handler(signal.SIGTERM, ending.set)
    server = await asyncio.start_server(serve, host, port)
    print(address_of(server), flush=True)
    await ending.wait()
    while running:
        await asyncio.sleep(0.02)
    await asyncio.sleep(0.1)
    server.close()


asyncio.run(main(sys.argv[1], sys.argv[2], int(sys.argv[3]), float(sys.argv[4]), int(sys.argv[5])))
