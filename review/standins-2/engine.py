"""Stand-in for one sql engine: speaks the line protocol of the protocol page, as a process of its own.

    python engine.py RECORD [--window S] [--notes S] [--cores N] [--mss N] [--rcvbuf N] [--work MS]

Writes one JSON line per event to RECORD and prints its port as the first line of standard output. A statement
may state its work as /* work=MS */. Runs everything that it is sent at once; `never_mind` stops nothing, it
only withholds the answer. Repeats of an idempotency key are dropped for the window.
"""

import argparse
import asyncio
import json
import random
import re
import socket
import time

WORK = re.compile(rb"/\* work=([0-9.]+)")
seen: dict[str, float] = {}  # when each idempotency key last took effect (one window for the whole engine)


class Connection(asyncio.Protocol):
    number = 0

    def __init__(self, options, record, runs):
        self.options, self.record, self.runs = options, record, runs
        self.buffer, self.offset, self.total = b"", 0, 0
        self.open: dict[str, asyncio.Task] = {}

    def connection_made(self, transport):
        Connection.number += 1
        self.transport, self.number = transport, Connection.number
        self.peer = transport.get_extra_info("peername")[1]
        self.record("connection", connection=self.number, peer=self.peer)

    def connection_lost(self, error):
        self.record("closed", connection=self.number, open=list(self.open))
        for task in self.open.values():
            task.cancel()

    def send(self, text, body=b""):
        if not self.transport.is_closing():
            self.transport.write(f"{text} {len(body)}\r\n".encode() + body + b"\r\n")

    def data_received(self, data):
        self.buffer += data
        self.total += len(data)
        if self.options.reads:
            self.record("read", connection=self.number, total=self.total, peer=self.peer)
        while True:
            end = self.buffer.find(b"\r\n")
            if end < 0:
                return
            words = self.buffer[:end].decode().split(" ")
            size = end + 2
            body = b""
            if words[0] == "want":
                size += int(words[3]) + 2
                if len(self.buffer) < size:
                    return
                body = self.buffer[end + 2 : size - 2]
            begin = self.offset
            self.buffer, self.offset = self.buffer[size:], self.offset + size
            self.command(words, body, begin)

    def command(self, words, body, begin):
        if words[0] == "want":
            fields = {} if words[2] == "-" else dict(pair.split("=", 1) for pair in words[2].split(","))
            key = fields.get("dedupe")
            now = time.time()
            repeat = key is not None and now - seen.get(key, -1e9) < self.options.window
            self.record(
                "want",
                id=words[1],
                key=key,
                lane=fields.get("lane"),
                connection=self.number,
                begin=begin,
                peer=self.peer,
                ttl=fields.get("ttl"),
                dropped_as_repeat=repeat,
            )
            if key is not None and not repeat:
                seen[key] = now
            self.open[words[1]] = asyncio.get_running_loop().create_task(self.run(words[1], body))
        elif words[0] == "busy":
            util = min(1.0, len(self.open) / self.options.cores)
            self.send(f"{words[1]} READY rep=inflight:{len(self.open)};util:{util:.2f};x0:0.05;x1:0.05")
        elif words[0] == "there":
            self.send(f"{words[1]} READY -")
        elif words[0] == "turn":
            self.send(f"{words[1]} EIO -")
        elif words[0] == "never_mind":
            self.record("never_mind", id=words[1], connection=self.number)
            task = self.open.pop(words[1], None)
            if task is not None:
                task.cancel()

    async def run(self, id, body):
        found = WORK.search(body)
        work = float(found[1]) if found else self.options.work
        left = work / 1000
        while left > 0:
            step = min(left, self.options.notes) if self.options.notes else left
            await asyncio.sleep(step)
            left -= step
            if left > 0:
                self.send(f"{id} EVENT why=advance,value=0.5")
        self.open.pop(id, None)
        if (
            random.random() < self.options.lose or b"lose=1" in body
        ):  # the work is done, its answer does not come back
            self.record("answer lost", id=id, connection=self.number)
            if self.options.how == "reset":
                self.transport.abort()
            else:
                self.send(f"{id} EIO -")
            return
        self.record("end", id=id, connection=self.number)
        self.send(f"{id} ACK work={work:.1f},peak=4.0,parts=1", b"a\tb\t" + id.encode() + b"\n")


async def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("record")
    parser.add_argument("--window", type=float, default=25.0)
    parser.add_argument("--notes", type=float, default=1.0)
    parser.add_argument("--cores", type=int, default=16)
    parser.add_argument("--work", type=float, default=20.0)
    parser.add_argument(
        "--lose", type=float, default=0.0, help="share of answers lost: the connection is reset"
    )
    parser.add_argument("--how", default="reset", help="reset or error: what comes in place of a lost answer")
    parser.add_argument("--reads", action="store_true", help="record how many bytes were read")
    parser.add_argument("--mss", type=int, default=0)
    parser.add_argument("--rcvbuf", type=int, default=0)
    options = parser.parse_args()
    file = open(options.record, "a", buffering=1)

    def record(event, **fields):
        file.write(json.dumps({"at": time.time(), "event": event, **fields}) + "\n")

    listener = socket.socket()
    if options.mss:
        listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, options.mss)
    if options.rcvbuf:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, options.rcvbuf)
    listener.bind(("127.0.0.1", 0))
    loop = asyncio.get_running_loop()
    server = await loop.create_server(lambda: Connection(options, record, {}), sock=listener)
    print(listener.getsockname()[1], flush=True)
    await server.serve_forever()


asyncio.run(main())
