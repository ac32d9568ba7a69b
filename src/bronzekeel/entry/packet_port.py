"""Bind the port of callers' packets, before anything else is loaded.

What goes wrong without it: loading the rest of a balancer takes a tenth of a
second and more on a small host.  After all hosts lost power the fabric sends to
them meanwhile, and a packet that meets no socket is lost until its caller sends
it again.  What meets this socket waits in the kernel.
"""

from socket import AF_INET, SO_RCVBUF, SOCK_DGRAM, SOL_SOCKET, socket


#: Bytes that the kernel may hold for us.  Source: two tenths of a second of a
#: busy host's packets, the time that a start of Python may take on a slow one.
_RECEIVE_BUFFER = 1024 * 1024


def bound_packet_port(address: tuple[str, int]) -> socket:
    """Return a socket that takes datagrams at `address`.

    Raises OSError when the port is taken or the address is not this host's.
    """
    bound = socket(AF_INET, SOCK_DGRAM)
    bound.setsockopt(SOL_SOCKET, SO_RCVBUF, _RECEIVE_BUFFER)
    bound.setblocking(False)
    bound.bind(address)
    return bound
