"""Bind the port for callers' packets before anything else is imported.

After a power failure of all hosts the fabric sends packets to hosts that are still starting.  A
packet that arrives before the port is bound is lost.  Its caller retransmits it after 0.2 s and
again 0.4 s later, so a caller that sent its packet more than 0.2 s before the port was bound waits
for 0.6 s.  Importing ``socket`` and the modules that read the settings takes a quarter of the
start-up time, so this module uses only the built-in ``_socket``.
"""

from _socket import AF_INET, SO_RCVBUF, SOCK_DGRAM, SOL_SOCKET, socket


#: Size of the kernel's receive buffer: the packets of 0.2 s on a busy host, which is how long
#: Python may take to start on a slow one.
RECEIVE_BUFFER_BYTES = 1024 * 1024

_BIND_ERRORS = (IndexError, OSError, OverflowError, ValueError)


def bind_early(arguments: list[str]) -> int | None:
    """Return the descriptor of a socket bound to the address in the first argument after the name.

    Returns None if the address is missing, malformed or cannot be bound; reading the settings and
    binding their address then reports the error.
    """
    try:
        host, port = arguments[1].rsplit(':', 1)
        bound = socket(AF_INET, SOCK_DGRAM)
        bound.setsockopt(SOL_SOCKET, SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        bound.bind((host, int(port)))
    except _BIND_ERRORS:
        return None
    return bound.detach()
