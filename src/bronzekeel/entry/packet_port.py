"""Bind the port of callers' packets, before anything else is loaded.

What goes wrong without it: loading the rest of a balancer takes a tenth of a
second and more on a small host.  After all hosts lost power the fabric sends to
them meanwhile, and a packet that meets no socket is lost until its caller sends
it again.  What meets this socket waits in the kernel.
"""

from socket import AF_INET, SO_RCVBUF, SOCK_DGRAM, SOL_SOCKET, socket

from bronzekeel.entry.early_port import RECEIVE_BUFFER_BYTES


def bind_packet_port(address: tuple[str, int], early_descriptor: int | None = None) -> socket:
    """Return a socket that takes datagrams at `address`.

    A descriptor that was bound `early` is used if that is its address.  Raises OSError when
    the port is taken or the address is not this host's.
    """
    if early_descriptor is not None:
        reused = socket(AF_INET, SOCK_DGRAM, fileno=early_descriptor)
        reused.setblocking(False)
        if reused.getsockname() == address:
            return reused
        reused.close()
    bound = socket(AF_INET, SOCK_DGRAM)
    bound.setsockopt(SOL_SOCKET, SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    bound.setblocking(False)
    bound.bind(address)
    return bound
