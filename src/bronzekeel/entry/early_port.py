"""Bind the port of callers' packets as the first thing of all.

What goes wrong without it: after all hosts lost power the fabric sends to hosts that start.  A
packet that meets no socket is lost; its caller repeats it after 0.2 s and then after 0.4 s more, so
whoever sent one more than 0.2 s before the port was bound waits for 0.6 s.  The standard library's
``socket`` and all that reads settings take a quarter of a start; this takes ``_socket``, the part
of it that the interpreter brings compiled.
"""

from _socket import AF_INET, SO_RCVBUF, SOCK_DGRAM, SOL_SOCKET, socket


#: Bytes that the kernel may hold for us.  Source: two tenths of a second of a
#: busy host's packets, the time that a start of Python may take on a slow one.
RECEIVE_BUFFER_BYTES = 1024 * 1024

_BIND_ERRORS = (IndexError, OSError, OverflowError, ValueError)


def bind_early(arguments: list[str]) -> int | None:
    """Return a descriptor bound to the address in a program's first word after its name.

    Without one, or when it cannot be bound, the settings say later what is wrong.
    """
    try:
        host, port = arguments[1].rsplit(':', 1)
        bound = socket(AF_INET, SOCK_DGRAM)
        bound.setsockopt(SOL_SOCKET, SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        bound.bind((host, int(port)))
    except _BIND_ERRORS:
        return None
    return bound.detach()
