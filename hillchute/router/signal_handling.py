"""Receives signals, records when they arrived and passes them to the event loop."""

import signal
from collections.abc import Callable

import anyio

from hillchute.decision.interface import Time
from hillchute.net.clock import Clock

SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGUSR1)


class SignalReceiver:
    """Passes signals to the event loop and records when SIGTERM and SIGINT arrived.

    The event loop sees a signal a round later than it arrived, but a shutdown is timed from the arrival.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.started_at: Time = clock()
        self.arrivals: dict[int, Time] = {}  # first arrival by signal number

    async def listen(self, on_signal: Callable[[int], None]) -> None:
        """Unblocks the signals and calls back for each one, until cancelled."""
        with anyio.open_signal_receiver(*SIGNALS) as signals:
            self.record_arrival(signal.SIGTERM)
            self.record_arrival(signal.SIGINT)
            signal.pthread_sigmask(signal.SIG_UNBLOCK, SIGNALS)
            async for number in signals:
                on_signal(number)

    def record_arrival(self, number: int) -> None:
        """Installs a handler that records when a signal arrives.

        A signal that is already pending arrived during startup; its arrival is set to the start time.
        """
        if number in signal.sigpending():
            self.arrivals[number] = self.started_at
        previous_handler = signal.getsignal(number)

        def record(number: int, frame: object) -> None:
            self.arrivals.setdefault(number, self.clock())
            if callable(previous_handler):
                previous_handler(number, frame)  # type: ignore[arg-type]  # the interpreter's frame

        signal.signal(number, record)
