"""One connection on the line protocol: commands to bytes, and answers put together to whole results.

Owns which submissions and probes are open on the connection and the pages that have come of each. Must never
do I/O or judge. What comes under an id that is not open here, twice, or unasked says nothing.
"""

from collections.abc import Iterator

from hillchute.engines import words
from hillchute.engines.line import wire


class Exchange:
    """feed() gives what the engine says; `owed` then holds what is to be written because of it."""

    def __init__(self) -> None:
        self.decoder = wire.Decoder()
        # Submissions that are open, and of those that are over the first answer and the pages.
        self.open: dict[str, tuple[wire.Answer, list[words.Rows | None]] | None] = {}
        self.probes: set[str] = set()
        self.owed = b""

    def encode(self, command: words.Command) -> bytes:
        match command:
            case words.Run(id, group, within, rank, token, statement):
                self.open[id] = None
                return wire.encode(wire.Want(id, group, within, rank, token, statement))
            case words.GiveUp(id):
                self.open.pop(id, None)
                return wire.encode(wire.NeverMind(id))
            case words.Unwanted(id):
                self.open.pop(id, None)
                return wire.encode(wire.Shut(id))
            case words.Hurry(id, rank):
                return wire.encode(wire.Hurry(id, rank))
            case words.Probe(tag):
                self.probes.add(tag)
                return wire.encode(wire.Busy(tag))

    def feed(self, data: bytes) -> Iterator[words.Said]:
        """Raises wire.Unreadable; what came whole before that is given first."""
        for answer in self.decoder.feed(data):
            yield self.said(answer)

    def said(self, answer: wire.Answer) -> words.Said:
        if answer.id in self.probes:
            self.probes.discard(answer.id)
            result = "finished" if answer.word == "READY" else wire.ENDINGS.get(answer.word, "errored")
            return words.Probed(answer.id, result, answer.report)
        if answer.id not in self.open:
            return None
        match answer.word:
            case "ACK":
                return self.acknowledged(answer)
            case "BLOCK":
                return self.page(answer)
            case "EVENT" if answer.topic:
                return words.Noted(answer.id, answer.topic, answer.value)
            case word if word in wire.ENDINGS:
                del self.open[answer.id]
                return words.Ended(answer.id, wire.ENDINGS[word], answer.work, answer.report)
        return None

    def acknowledged(self, answer: wire.Answer) -> words.Said:
        if self.open[answer.id] is not None:
            return None
        self.open[answer.id] = answer, [None] * answer.parts
        if answer.parts == 1:
            return self.page(answer)
        for page in range(1, answer.parts):
            self.owed += wire.encode(wire.Turn(answer.id, page))
        self.page(answer)
        return words.Over(answer.id, answer.work, answer.report)

    def page(self, answer: wire.Answer) -> words.Said:
        """One page of a result. One that was not asked for, or that is here already, is passed over."""
        known = self.open[answer.id]
        if known is None:
            return None
        first, pages = known
        if answer.part >= len(pages) or pages[answer.part] is not None:
            return None
        pages[answer.part] = wire.rows(answer.body)
        if any(page is None for page in pages):
            return None
        del self.open[answer.id]
        return words.Whole(answer.id, [row for page in pages for row in page], first.work, first.report)
