"""Encode and decode connection ids.

A connection id is the short number of the flow's upstream, XORed with a
checksum of the flow's route (the seal).  Both ends of a flow echo it, so any
balancer finds the upstream of any packet without per-flow state and without
querying another balancer.

The seal separates services: an id issued for one route, or a forged id, matches
an upstream on another route only by chance, with a probability of the number of
upstreams in 2**32.  Without it, a caller's id for one service would steer its
packets on another service to the first service's upstream.
"""

from zlib import crc32


def seal_of(route_key: bytes) -> int:
    """Return the seal of a route, a CRC-32 of its address and port."""
    return crc32(route_key)


def encode_connection_id(short_number: int, seal: int) -> int:
    """Return the connection id of an upstream on the route with this seal."""
    return short_number ^ seal


def decode_connection_id(connection_id: int, seal: int) -> int:
    """Return the short number of the upstream that an id names on the route with this seal."""
    return connection_id ^ seal
