"""The log: one JSON line an event on standard output.

Owns the descriptor and a bounded buffer. Must never block the loop nor fail its caller: what a full pipe
does not take waits in the buffer, what the buffer does not hold is dropped and counted.
"""

import os
import time
from collections import Counter

import orjson

MOST_ALIKE = 20  # lines of one event in a second; the rest is counted: a line costs what a query does
BUFFER = 256 * 1024  # bytes held for a slow reader: some seconds of lines


class Log:
    def __init__(self, name: str, descriptor: int = 1, alike: int = MOST_ALIKE) -> None:
        self.name = name
        self.descriptor = descriptor
        self.alike = alike
        self.buffer = bytearray()
        self.dropped = 0
        self.second, self.written = 0, Counter()  # lines of each event in this second
        try:
            os.set_blocking(descriptor, False)
        except OSError:
            self.descriptor = -1  # closed: there is nobody to read

    def write(self, event: str, **fields: object) -> None:
        now = time.monotonic_ns() // 100_000  # of the window: a step of the wall clock does not stretch it
        if now - self.second >= 10_000:
            alike = {name: n - self.alike for name, n in self.written.items() if n > self.alike}
            self.second, self.written = now, Counter()
            if alike:
                self.write("log_alike", left_out=alike)
        self.written[event] += 1
        if self.written[event] > self.alike:
            return
        line = orjson.dumps(
            {"time": time.time_ns() // 100_000 / 10_000, "router": self.name, "event": event, **fields},
            default=str,
            option=orjson.OPT_APPEND_NEWLINE | orjson.OPT_NON_STR_KEYS,
        )
        if len(self.buffer) + len(line) > BUFFER:
            self.flush()
        if len(self.buffer) + len(line) > BUFFER:
            self.dropped += 1
            return
        self.buffer += line
        if len(self.buffer) > 4096 or event != "query":
            self.flush()

    def flush(self) -> None:
        if self.dropped and len(self.buffer) < BUFFER // 2:
            self.buffer += orjson.dumps(
                {"event": "log_dropped", "router": self.name, "lines": self.dropped},
                option=orjson.OPT_APPEND_NEWLINE,
            )
            self.dropped = 0
        try:
            while self.buffer and self.descriptor >= 0:
                del self.buffer[: os.write(self.descriptor, self.buffer[:65536])]
        except BlockingIOError:
            pass
        except OSError:
            self.descriptor = -1
            self.buffer.clear()
