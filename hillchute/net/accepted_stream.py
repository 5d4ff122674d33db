"""Streams on accepted sockets."""

import errno
import socket

import anyio
import anyio.abc


async def wrap_accepted_socket(sock: socket.socket) -> anyio.abc.SocketStream:
    """A stream on an accepted socket; raises ConnectionAbortedError, and closes it, if it is not connected.

    The peer may have reset the connection before it was accepted: the socket then has no peer address, for
    which anyio raises ValueError.
    """
    try:
        return await anyio.abc.SocketStream.from_socket(sock)
    except ValueError as error:
        sock.close()
        raise ConnectionAbortedError(errno.ECONNABORTED, str(error)) from error
