"""Encode messages between balancers; the codec is MessagePack by msgspec."""

from msgspec import DecodeError, ValidationError
from msgspec.msgpack import Decoder, Encoder

from bronzekeel.core.messages import Heartbeat, Message


#: Bytes that a datagram and a gRPC call add to an encoded message.
_DATAGRAM_OVERHEAD_BYTES = 28
_CALL_OVERHEAD_BYTES = 140

_encoder = Encoder()
_decoder: Decoder[Message] = Decoder(Message)


class WireError(ValueError):
    """Tell that bytes from a peer are no message; they are to be dropped."""


def encode(message: Message) -> bytes:
    """Return the bytes of a message."""
    return _encoder.encode(message)


def decode(raw: bytes) -> Message:
    """Return the message that `raw` spells.

    Raises WireError for anything else.
    """
    try:
        return _decoder.decode(raw)
    except (DecodeError, ValidationError, RecursionError) as error:
        raise WireError(f'not a peer message, drop it: {error}') from error


def wire_bytes(message: Message, raw: bytes) -> int:
    """Return what sending a message takes: its bytes and those of its carrier."""
    overhead = _DATAGRAM_OVERHEAD_BYTES if isinstance(message, Heartbeat) else _CALL_OVERHEAD_BYTES
    return len(raw) + overhead
