"""Bind the same port number for datagrams and for streams."""

from collections.abc import Iterable
from socket import AF_INET, SO_REUSEADDR, SOCK_DGRAM, SOCK_STREAM, SOL_SOCKET, socket


#: Maximum number of attempts to find a port that is free for datagrams and for streams.  On a host
#: with a tenth of its ports in use, 20 attempts all fail once in 10**20 starts.
MAX_BIND_ATTEMPTS = 20


def bind_pair(address: str, ports: Iterable[int]) -> tuple[socket, socket]:
    """Return a datagram socket and a stream socket bound to the same port.

    For port 0 the kernel picks a port that is free for datagrams, but another process may use it
    for streams.  With a single attempt binding would fail with "address already in use" although
    any port would do, so each of `ports` is tried in turn.  Raises OSError if none is free for
    both.
    """
    error = OSError('no ports to bind')
    for port in ports:
        datagrams = socket(AF_INET, SOCK_DGRAM)
        streams = socket(AF_INET, SOCK_STREAM)
        streams.setsockopt(SOL_SOCKET, SO_REUSEADDR, 1)
        try:
            datagrams.bind((address, port))
            streams.bind((address, datagrams.getsockname()[1]))
        except OSError as bind_error:
            error = bind_error
            datagrams.close()
            streams.close()
            continue
        return datagrams, streams
    raise error
