"""System calls that fail as Linux documents: one chosen call of a run, or all of one kind for a while.

Owns the list of errno that each call may give and the count of calls made. Must never change what a call does
where it is not chosen.
"""

import errno
import os
from collections import Counter
from typing import NamedTuple

from hillchute.net.system_calls import System

ACCEPT = ("ECONNABORTED", "EMFILE", "ENFILE", "ENOBUFS", "ENOMEM", "EPROTO", "EINTR", "ENETDOWN")
OPEN = ("EMFILE", "ENFILE", "ENOBUFS", "ENOMEM")
CONNECT = (
    "EADDRNOTAVAIL",
    "ENETUNREACH",
    "EHOSTUNREACH",
    "ETIMEDOUT",
    "ECONNREFUSED",
    "EINTR",
    "ENOBUFS",
)
RECEIVE = ("EINTR", "EAGAIN", "ECONNRESET", "ETIMEDOUT", "EHOSTUNREACH", "ENOMEM")
SEND = ("EINTR", "EAGAIN", "ECONNRESET", "EPIPE", "ETIMEDOUT", "EHOSTUNREACH", "ENOBUFS", "ENOMEM")
DOCUMENTED = {
    "accept": ACCEPT,
    "prepare": ("EINVAL", "ENOBUFS"),
    "open_stream": OPEN,
    "connect": CONNECT,
    "connect_error": ("ECONNREFUSED", "ETIMEDOUT", "EHOSTUNREACH", "ENETUNREACH", "ECONNRESET"),
    "receive": RECEIVE,
    "send": SEND,
    "info": ("ENOBUFS",),
    "shut_down": ("ENOTCONN",),
    "close": ("EINTR", "EIO"),
    "epoll_add": ("ENOSPC", "ENOMEM"),
    "epoll_change": ("ENOMEM",),
    "epoll_remove": ("ENOENT",),
    "epoll_look": ("EINTR",),
}


class Fault(NamedTuple):
    """The n-th call of a name, from 1, and the `count` - 1 that follow it, fail or are short."""

    call: str
    error: str = ""  # an errno by its name
    number: int = 1
    count: int = 1
    short: int = 0  # bytes that a receive or a send takes at the most; instead of an error


class FaultySystem(System):
    """`happened` tells whether the run came to the fault at all."""

    def __init__(self, fault: Fault | None = None) -> None:
        self.fault = fault
        self.calls: Counter[str] = Counter()
        self.happened = False

    def chosen(self, call: str) -> Fault | None:
        self.calls[call] += 1
        fault = self.fault
        if fault is None or fault.call != call:
            return None
        if not fault.number <= self.calls[call] < fault.number + fault.count:
            return None
        self.happened = True
        return fault

    def receive(self, sock, size, flags=0):
        fault = self.chosen("receive")
        if fault is not None and not fault.short:
            raise failure(fault)
        return super().receive(sock, min(size, fault.short) if fault else size, flags)

    def send(self, sock, data):
        fault = self.chosen("send")
        if fault is not None and not fault.short:
            raise failure(fault)
        return super().send(sock, data[: fault.short] if fault else data)

    def close(self, sock):
        """Linux closes the descriptor also where close(2) gives an error."""
        super().close(sock)
        fault = self.chosen("close")
        if fault is not None:
            raise failure(fault)

    def connect(self, sock, address):
        """Interrupted, the connect goes on: connect(2)."""
        fault = self.chosen("connect")
        if fault is not None and fault.error != "EINTR":
            raise failure(fault)
        super().connect(sock, address)
        if fault is not None:
            raise failure(fault)

    def connect_error(self, sock):
        error = super().connect_error(sock)
        fault = self.chosen("connect_error")
        return getattr(errno, fault.error) if fault else error


def failure(fault: Fault) -> OSError:
    number = getattr(errno, fault.error)
    return OSError(number, os.strerror(number))


def failing(name: str):
    """A call that fails as chosen and else is the kernel's."""
    call = getattr(System, name)

    def checked(self, *about):
        fault = self.chosen(name)
        if fault is not None:
            raise failure(fault)
        return call(self, *about)

    return checked


for name in DOCUMENTED:
    if name not in vars(FaultySystem):
        setattr(FaultySystem, name, failing(name))
