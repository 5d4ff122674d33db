"""Follows the event bus on a socket: one connection, moved when the configuration names another address.

Owns when it is connected and tried again. Must never act on what it hears: news goes to whoever asked.
"""

from collections.abc import Callable

import anyio
import anyio.abc

from hillchute.errors import EventBusProtocolError
from hillchute.log import Log
from hillchute.membership import event_bus

READ = 65_536  # bytes read at once
SILENCE = 2.5  # seconds without the frame that the protocol promises each second: a new connection
RETRY = 0.25  # seconds between two tries
GONE = (anyio.EndOfStream, anyio.ClosedResourceError, anyio.BrokenResourceError, OSError)


class Follower:
    def __init__(
        self,
        log: Log,
        news: Callable[[event_bus.Update], None],
        last: Callable[[], int],
        wait: Callable[[float], float],
    ) -> None:
        """`last` gives the number of the last event that was taken in; `wait`, of seconds between two tries,
        those of this one. Guards the event bus against all routers that lost it in one instant."""
        self.log, self.news, self.last, self.wait = log, news, last, wait
        self.scopes: list[anyio.CancelScope] = []  # of the connections, the newest last

    def move(self, address: tuple[str, int], tasks: anyio.abc.TaskGroup) -> None:
        """Follows the event bus at its address of now. Whoever followed it elsewhere is left once this one
        is up: until then an old event bus may still tell something."""
        scope = anyio.CancelScope()
        self.scopes.append(scope)
        tasks.start_soon(self.follow, address, scope)

    async def follow(self, address: tuple[str, int], scope: anyio.CancelScope) -> None:
        with scope:
            while scope in self.scopes:
                try:
                    await self.hear(address, scope)
                except (*GONE, TimeoutError, EventBusProtocolError) as fault:
                    why = str(fault) or type(fault).__name__
                    told = fault.log_fields if isinstance(fault, EventBusProtocolError) else {}
                    self.log.write("bus_lost", why=why, last=self.last(), **told)
                if scope is not self.scopes[-1]:  # the event bus has moved: nothing more is told here
                    if scope in self.scopes:  # else a newer connection has let this one go as it broke
                        self.scopes.remove(scope)
                    return
                await anyio.sleep(self.wait(RETRY))

    async def hear(self, address: tuple[str, int], scope: anyio.CancelScope) -> None:
        with anyio.fail_after(SILENCE):
            stream = await anyio.connect_tcp(*address)
        async with stream:
            decoder = event_bus.Decoder()
            await stream.send(event_bus.subscribe(self.last()))
            while scope is not self.scopes[0]:
                self.scopes.pop(0).cancel()
            while True:
                # Whole frames count, not bytes: those of later frames could feed one that never ends.
                with anyio.fail_after(SILENCE):
                    while not (told := list(decoder.feed(await stream.receive(READ)))):
                        pass
                for news in told:
                    self.news(news)
