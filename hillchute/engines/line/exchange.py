"""State of one connection on the line protocol: encodes commands and assembles complete results from answers.

Keeps the open runs and health checks of the connection and the result pages received so far. Performs no I/O.
Answers with an unknown id, duplicate answers and pages that were not requested are ignored.
"""

from collections.abc import Iterator

from hillchute.engines import words
from hillchute.engines.line import wire


class LineProtocol:
    """encode() gives the bytes of a command, feed() the messages of the engine.

    feed() appends the commands that follow from the answers to `pending_output`, which the caller must send.
    """

    def __init__(self) -> None:
        self.decoder = wire.Decoder()
        # By id; None until the run is acknowledged, then its ACK and the result pages received so far.
        self.open_runs: dict[str, tuple[wire.Answer, list[words.Rows | None]] | None] = {}
        self.open_health_checks: set[str] = set()  # tags
        self.pending_output = b""

    def encode(self, command: words.Command) -> bytes:
        """The bytes of a command; none for one on a run that was not sent here or has ended."""
        match command:
            case words.StartRun(id, group, timeout_ms, priority, idempotency_key, statement):
                self.open_runs[id] = None
                return wire.encode(wire.StartRun(id, group, timeout_ms, priority, idempotency_key, statement))
            case words.CancelRun(id) | words.DiscardResult(id) | words.SetPriority(id) if (
                id not in self.open_runs
            ):
                return b""
            case words.CancelRun(id):
                del self.open_runs[id]
                return wire.encode(wire.CancelRun(id))
            case words.DiscardResult(id):
                del self.open_runs[id]
                return wire.encode(wire.DiscardResult(id))
            case words.SetPriority(id, priority):
                return wire.encode(wire.SetPriority(id, priority))
            case words.HealthCheckRequest(tag):
                self.open_health_checks.add(tag)
                return wire.encode(wire.LoadReportRequest(tag))

    def feed(self, data: bytes) -> Iterator[words.EngineMessage]:
        """Yields complete messages; raises wire.MalformedAnswerError after those before an invalid answer."""
        for answer in self.decoder.feed(data):
            yield self.handle_answer(answer)

    def handle_answer(self, answer: wire.Answer) -> words.EngineMessage:
        """The message in an answer; None if it only shows that the engine is alive."""
        if answer.id in self.open_health_checks:
            self.open_health_checks.discard(answer.id)
            result = "finished" if answer.kind == "READY" else wire.RESULT_BY_KIND.get(answer.kind, "errored")
            return words.HealthCheckAnswer(answer.id, result, answer.report)
        if answer.id not in self.open_runs:
            return None
        match answer.kind:
            case "ACK":
                return self.handle_ack(answer)
            case "BLOCK":
                return self.handle_page(answer)
            case "EVENT" if answer.topic:
                return words.ProgressReported(answer.id, answer.topic, answer.value)
            case kind if kind in wire.RESULT_BY_KIND:
                del self.open_runs[answer.id]
                return words.RunEnded(answer.id, wire.RESULT_BY_KIND[kind], answer.cpu_ms, answer.report)
        return None

    def handle_ack(self, answer: wire.Answer) -> words.EngineMessage:
        """Handles the acknowledgement of a run, which holds its first page; requests the other pages."""
        if self.open_runs[answer.id] is not None:
            return None
        self.open_runs[answer.id] = answer, [None] * answer.page_count
        if answer.page_count == 1:
            return self.handle_page(answer)
        for page in range(1, answer.page_count):
            self.pending_output += wire.encode(wire.FetchPage(answer.id, page))
        self.handle_page(answer)
        return words.RunCompleted(answer.id, answer.cpu_ms, answer.report)

    def handle_page(self, answer: wire.Answer) -> words.EngineMessage:
        """Handles a page of a result. Ignores pages that were not requested or were received before."""
        acknowledged = self.open_runs[answer.id]
        if acknowledged is None:
            return None
        ack, pages = acknowledged
        if answer.page >= len(pages) or pages[answer.page] is not None:
            return None
        pages[answer.page] = wire.parse_rows(answer.body)
        if any(page is None for page in pages):
            return None
        del self.open_runs[answer.id]
        return words.ResultReceived(
            answer.id, [row for page in pages for row in page], ack.cpu_ms, ack.report
        )
