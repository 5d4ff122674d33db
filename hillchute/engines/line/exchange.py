"""State of one connection on the line protocol: encodes commands and assembles complete results from answers.

Keeps the open runs and health checks of the connection and the result pages received so far. Performs no I/O.
Answers with an unknown id, duplicate answers and pages that were not requested are ignored.
"""

from collections.abc import Iterator

from hillchute.engines import words
from hillchute.engines.line import wire


class Exchange:
    """encode() gives the bytes of a command, feed() the messages of the engine.

    feed() appends the commands that follow from the answers to `owed`, which the caller must send.
    """

    def __init__(self) -> None:
        self.decoder = wire.Decoder()
        # By id; None until the run is acknowledged, then its ACK and the result pages received so far.
        self.open_runs: dict[str, tuple[wire.Answer, list[words.Rows | None]] | None] = {}
        self.open_probes: set[str] = set()  # tags
        self.owed = b""

    def encode(self, command: words.Command) -> bytes:
        match command:
            case words.Run(id, group, within, rank, token, statement):
                self.open_runs[id] = None
                return wire.encode(wire.Want(id, group, within, rank, token, statement))
            case words.GiveUp(id):
                self.open_runs.pop(id, None)
                return wire.encode(wire.NeverMind(id))
            case words.Unwanted(id):
                self.open_runs.pop(id, None)
                return wire.encode(wire.Shut(id))
            case words.Hurry(id, rank):
                return wire.encode(wire.Hurry(id, rank))
            case words.Probe(tag):
                self.open_probes.add(tag)
                return wire.encode(wire.Busy(tag))

    def feed(self, data: bytes) -> Iterator[words.Said]:
        """Yields complete messages; raises wire.Unreadable after those that precede an invalid answer."""
        for answer in self.decoder.feed(data):
            yield self.said(answer)

    def said(self, answer: wire.Answer) -> words.Said:
        """The message in an answer; None if it only shows that the engine is alive."""
        if answer.id in self.open_probes:
            self.open_probes.discard(answer.id)
            result = "finished" if answer.word == "READY" else wire.ENDINGS.get(answer.word, "errored")
            return words.Probed(answer.id, result, answer.report)
        if answer.id not in self.open_runs:
            return None
        match answer.word:
            case "ACK":
                return self.handle_ack(answer)
            case "BLOCK":
                return self.handle_page(answer)
            case "EVENT" if answer.topic:
                return words.Noted(answer.id, answer.topic, answer.value)
            case word if word in wire.ENDINGS:
                del self.open_runs[answer.id]
                return words.Ended(answer.id, wire.ENDINGS[word], answer.work, answer.report)
        return None

    def handle_ack(self, answer: wire.Answer) -> words.Said:
        """Handles the acknowledgement of a run, which holds its first page; requests the other pages."""
        if self.open_runs[answer.id] is not None:
            return None
        self.open_runs[answer.id] = answer, [None] * answer.parts
        if answer.parts == 1:
            return self.handle_page(answer)
        for page in range(1, answer.parts):
            self.owed += wire.encode(wire.Turn(answer.id, page))
        self.handle_page(answer)
        return words.Over(answer.id, answer.work, answer.report)

    def handle_page(self, answer: wire.Answer) -> words.Said:
        """Handles a page of a result. Ignores pages that were not requested or were received before."""
        acknowledged = self.open_runs[answer.id]
        if acknowledged is None:
            return None
        ack, pages = acknowledged
        if answer.part >= len(pages) or pages[answer.part] is not None:
            return None
        pages[answer.part] = wire.rows(answer.body)
        if any(page is None for page in pages):
            return None
        del self.open_runs[answer.id]
        return words.Whole(answer.id, [row for page in pages for row in page], ack.work, ack.report)
