"""The toy deployment that `lab up` starts, and its printed instructions."""

import anyio

from hillchute.lab.fleet import deployed
from hillchute.lab.parity import operator


async def bring_up(engines: str, count: int, text: str | None) -> None:
    """Run engines and a router until cancelled; `text` is the operator file's content, if any."""
    async with deployed(engines, count, text or operator(engines)) as (_, router):
        print(f"{count} engines that speak {engines}; the router takes")
        print(f"  MySQL      127.0.0.1:{router.port}   user app, no password, database lake")
        if text is None or "flight" in text:
            print(f"  Flight SQL grpc://127.0.0.1:{router.flight_port}")
        print("Try: python examples/ask.py PORT; Ctrl-C ends it.", flush=True)
        await anyio.sleep_forever()
