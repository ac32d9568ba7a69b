"""Encode and decode connection ids.

A connection id is the short number of the flow's upstream, XORed with a
checksum of the flow's route (the route tag).  Both ends of a flow echo it, so any
balancer finds the upstream of any packet without per-flow state and without
querying another balancer.

The route tag separates services: an id issued for one route, or a forged id, matches
an upstream on another route only by chance, with a probability of the number of
upstreams in 2**32.  Without it, a caller's id for one service would steer its
packets on another service to the first service's upstream.
"""

from zlib import crc32


def route_tag_of(route_key: bytes) -> int:
    """Return the tag of a route, a CRC-32 of its address and port."""
    return crc32(route_key)


def encode_connection_id(short_number: int, route_tag: int) -> int:
    """Return the connection id of an upstream on the route with this tag."""
    return short_number ^ route_tag


def decode_connection_id(connection_id: int, route_tag: int) -> int:
    """Return the short number of the upstream that an id names on the route with this tag."""
    return connection_id ^ route_tag
