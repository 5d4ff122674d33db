"""Fault injection into system calls: chosen calls of a run, by name and number, fail as Linux documents.

All other calls are passed to the kernel unchanged.
"""

import errno
import os
import select
import socket
from collections import Counter
from dataclasses import dataclass

from hillchute.net.system_calls import SystemCalls

DOCUMENTED_ERRNOS = {
    "accept": ("ECONNABORTED", "EMFILE", "ENFILE", "ENOBUFS", "ENOMEM", "EPROTO", "EINTR", "ENETDOWN"),
    "prepare": ("EINVAL", "ENOBUFS"),
    "open_stream": ("EMFILE", "ENFILE", "ENOBUFS", "ENOMEM"),
    "connect": (
        "EADDRNOTAVAIL",
        "ENETUNREACH",
        "EHOSTUNREACH",
        "ETIMEDOUT",
        "ECONNREFUSED",
        "EINTR",
        "ENOBUFS",
    ),
    "connect_error": ("ECONNREFUSED", "ETIMEDOUT", "EHOSTUNREACH", "ENETUNREACH", "ECONNRESET"),
    "receive": ("EINTR", "EAGAIN", "ECONNRESET", "ETIMEDOUT", "EHOSTUNREACH", "ENOMEM"),
    "send": (
        "EINTR",
        "EAGAIN",
        "ECONNRESET",
        "EPIPE",
        "ETIMEDOUT",
        "EHOSTUNREACH",
        "ENOBUFS",
        "ENOMEM",
    ),
    "tcp_info": ("ENOBUFS",),
    "shut_down": ("ENOTCONN",),
    "close": ("EINTR", "EIO"),
    "epoll_add": ("ENOSPC", "ENOMEM"),
    "epoll_modify": ("ENOMEM",),
    "epoll_remove": ("ENOENT",),
    "epoll_wait": ("EINTR",),
}
"""Names of the errno values that the manual page lists, by the name of SystemCalls' method."""


@dataclass(frozen=True)
class Fault:
    """Successive calls of one name that fail, or that transfer fewer bytes than asked."""

    call: str
    """A method of SystemCalls."""
    errno_name: str = ""
    first: int = 1
    """Number of the first call that fails, counted from 1."""
    count: int = 1
    """How many calls fail, from `first` on."""
    max_bytes: int = 0
    """Most bytes that a receive or a send transfers; 0 means that the call fails."""


class FaultySystemCalls(SystemCalls):
    """System calls of which those chosen by `fault` fail; `fault` may be changed at any time."""

    def __init__(self, fault: Fault | None = None) -> None:
        self.fault = fault
        self.calls: Counter[str] = Counter()
        """Calls made, by name."""
        self.triggered = False
        """Whether the fault has occurred."""

    def open_stream(self, family: int) -> socket.socket:
        """Fail before any socket is opened."""
        self._fail_if_chosen("open_stream")
        return super().open_stream(family)

    def accept(self, listener: socket.socket) -> socket.socket:
        """Fail with the connection left in the backlog."""
        self._fail_if_chosen("accept")
        return super().accept(listener)

    def prepare(self, sock: socket.socket) -> None:
        """Fail before any option is set."""
        self._fail_if_chosen("prepare")
        super().prepare(sock)

    def connect(self, sock: socket.socket, address: tuple[str, int]) -> None:
        """Fail; after EINTR the connection is still being established, as connect(2) says."""
        fault = self._choose("connect")
        if fault is not None and fault.errno_name != "EINTR":
            raise os_error(fault)
        super().connect(sock, address)
        if fault is not None:
            raise os_error(fault)

    def connect_error(self, sock: socket.socket) -> int:
        """Return the fault's errno in place of the socket's."""
        error = super().connect_error(sock)
        fault = self._choose("connect_error")
        return error if fault is None else errno_number(fault)

    def receive(self, sock: socket.socket, size: int, flags: int = 0) -> bytes:
        """Fail, or receive no more than the fault allows."""
        fault = self._choose("receive")
        if fault is not None and not fault.max_bytes:
            raise os_error(fault)
        return super().receive(sock, min(size, fault.max_bytes) if fault else size, flags)

    def send(self, sock: socket.socket, data: bytes | bytearray) -> int:
        """Fail, or send no more than the fault allows."""
        fault = self._choose("send")
        if fault is not None and not fault.max_bytes:
            raise os_error(fault)
        return super().send(sock, data[: fault.max_bytes] if fault else data)

    def tcp_info(self, sock: socket.socket) -> bytes:
        """Fail."""
        self._fail_if_chosen("tcp_info")
        return super().tcp_info(sock)

    def shut_down(self, sock: socket.socket, how: int) -> None:
        """Fail with the connection left open."""
        self._fail_if_chosen("shut_down")
        super().shut_down(sock, how)

    def close(self, sock: socket.socket) -> None:
        """Fail after the close: Linux closes the descriptor also where close(2) gives an error."""
        super().close(sock)
        self._fail_if_chosen("close")

    def epoll_add(self, epoll: select.epoll, descriptor: int, mask: int) -> None:
        """Fail with the descriptor not registered."""
        self._fail_if_chosen("epoll_add")
        super().epoll_add(epoll, descriptor, mask)

    def epoll_modify(self, epoll: select.epoll, descriptor: int, mask: int) -> None:
        """Fail with the descriptor registered as before."""
        self._fail_if_chosen("epoll_modify")
        super().epoll_modify(epoll, descriptor, mask)

    def epoll_remove(self, epoll: select.epoll, descriptor: int) -> None:
        """Fail with the descriptor still registered."""
        self._fail_if_chosen("epoll_remove")
        super().epoll_remove(epoll, descriptor)

    def epoll_wait(self, epoll: select.epoll, max_events: int) -> list[tuple[int, int]]:
        """Fail without looking at any descriptor."""
        self._fail_if_chosen("epoll_wait")
        return super().epoll_wait(epoll, max_events)

    def _choose(self, call: str) -> Fault | None:
        """Count one call and return the fault if it is meant for this one."""
        self.calls[call] += 1
        fault = self.fault
        if fault is None or fault.call != call:
            return None
        if not fault.first <= self.calls[call] < fault.first + fault.count:
            return None
        self.triggered = True
        return fault

    def _fail_if_chosen(self, call: str) -> None:
        """Count one call and raise the fault's error if it is meant for this one."""
        fault = self._choose(call)
        if fault is not None:
            raise os_error(fault)


def errno_number(fault: Fault) -> int:
    """Return the number of the errno that a fault names."""
    number: int = getattr(errno, fault.errno_name)
    return number


def os_error(fault: Fault) -> OSError:
    """Make the OSError of the subclass that Python raises for this errno."""
    number = errno_number(fault)
    return OSError(number, os.strerror(number))
