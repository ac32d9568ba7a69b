"""Encode and decode messages between balancers as MessagePack."""

from msgspec import DecodeError, ValidationError
from msgspec.msgpack import Decoder, Encoder

from bronzekeel.core.messages import Heartbeat, Message


#: Bytes that a datagram and a gRPC call add to an encoded message.
_DATAGRAM_OVERHEAD_BYTES = 28
_CALL_OVERHEAD_BYTES = 140

_encoder = Encoder()
_decoder: Decoder[Message] = Decoder(Message)


class WireError(ValueError):
    """Raised for bytes from a peer that are not a valid message; drop them."""


def encode(message: Message) -> bytes:
    """Return the encoded message."""
    return _encoder.encode(message)


def decode(raw: bytes) -> Message:
    """Return the message encoded in `raw`.

    Raises WireError if it is not a valid message.
    """
    try:
        return _decoder.decode(raw)
    except (DecodeError, ValidationError, RecursionError) as error:
        raise WireError(f'invalid peer message, drop it: {error}') from error


def wire_bytes(message: Message, raw: bytes) -> int:
    """Return the bytes that a message takes on the wire, with datagram or call overhead."""
    overhead = _DATAGRAM_OVERHEAD_BYTES if isinstance(message, Heartbeat) else _CALL_OVERHEAD_BYTES
    return len(raw) + overhead
