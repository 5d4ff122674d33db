"""The signals that a router heeds: when each arrived, and their delivery to the event loop."""

import signal
from collections.abc import Callable

import anyio

from hillchute.decision.interface import Time
from hillchute.net.clock import Clock

SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGUSR1)


class SignalReceiver:
    """Gives signals to the event loop, and knows when SIGTERM and SIGINT arrived.

    The event loop is notified of a signal a round later than it arrives; a shutdown counts from the arrival.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.started_at: Time = clock()
        self.arrivals: dict[int, Time] = {}  # first arrivals, by the signal's number

    async def listen(self, on_signal: Callable[[int], None]) -> None:
        """Calls back for each signal, until it is cancelled. Signals were blocked until now."""
        with anyio.open_signal_receiver(*SIGNALS) as signals:
            self.record_arrival(signal.SIGTERM)
            self.record_arrival(signal.SIGINT)
            signal.pthread_sigmask(signal.SIG_UNBLOCK, SIGNALS)
            async for number in signals:
                on_signal(number)

    def record_arrival(self, number: int) -> None:
        """Records when a signal arrives, between two steps of the interpreter.

        One that came during the start, and is pending, counts from the start.
        """
        if number in signal.sigpending():
            self.arrivals[number] = self.started_at
        receive = signal.getsignal(number)

        def record(number: int, frame: object) -> None:
            self.arrivals.setdefault(number, self.clock())
            if callable(receive):
                receive(number, frame)  # type: ignore[arg-type]  # the frame that the interpreter gave

        signal.signal(number, record)
