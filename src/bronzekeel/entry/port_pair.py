"""Bind one port for datagrams and for streams."""

from collections.abc import Iterable
from socket import AF_INET, SO_REUSEADDR, SOCK_DGRAM, SOCK_STREAM, SOL_SOCKET, socket


#: Tries to find a port that is free for datagrams and for calls.  Source: a
#: crowded host has a tenth of its ports in use; twenty tries all fail then
#: once in 10**20 starts.
MAX_BIND_ATTEMPTS = 20


def bind_pair(address: str, ports: Iterable[int]) -> tuple[socket, socket]:
    """Return a datagram and a stream socket on the same port.

    What goes wrong with one try: port 0 gives a port that is free for
    datagrams, and another process has it for streams.  One notices by an
    "address already in use" though any port would do; so each of `ports` is
    tried in turn.  Raises OSError when none is free for both.
    """
    error = OSError('no port to try')
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
