"""Bind the port for callers' packets before the rest of the program is loaded.

Loading the rest takes 0.1 s or more on a small host.  After a power failure of all hosts the fabric
sends packets in the meantime.  A packet that arrives before the port is bound is lost until its
caller retransmits it; once the port is bound, packets wait in the kernel.
"""

from socket import AF_INET, SO_RCVBUF, SOCK_DGRAM, SOL_SOCKET, socket

from bronzekeel.entry.early_port import RECEIVE_BUFFER_BYTES


def bind_packet_port(address: tuple[str, int], early_descriptor: int | None = None) -> socket:
    """Return a non-blocking datagram socket bound to `address`.

    The socket of `early_descriptor` is reused if it has this address, and closed otherwise.  Raises
    OSError if the port is taken or the address does not belong to this host.
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
