"""Make and read connection ids.

A connection id is the number of the flow's upstream, sealed with the flow's
route.  Both ends of a flow echo it, so any balancer finds the upstream of any
packet without state for the flow and without asking another balancer.

The seal keeps services apart: an id that was made for one route, or that
somebody invented, names no upstream on another route but by a chance of
upstreams in 2**32.  Without it a caller's packet on one service could be steered
to another service's upstream by its id alone.
"""

from zlib import crc32


def seal_of(route_key: bytes) -> int:
    """Return the seal of a route, by its address and port."""
    return crc32(route_key)


def encode_connection_id(short_number: int, seal: int) -> int:
    """Return the connection id of an upstream on a route."""
    return short_number ^ seal


def decode_connection_id(connection_id: int, seal: int) -> int:
    """Return the short number of the upstream that an id names on a route."""
    return connection_id ^ seal
