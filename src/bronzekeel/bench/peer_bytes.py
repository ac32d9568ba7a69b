"""Counts the bytes of one message between balancers, sent as a gRPC call."""

from asyncio import StreamReader, StreamWriter, gather, open_connection, sleep, start_server
from contextlib import suppress

from bronzekeel.adapters.peers import Peers
from bronzekeel.core.messages import HostEntry, JournalAck, Message

_LOOPBACK = '127.0.0.1'
_CALLS = 100
_CHUNK_BYTES = 65536


class _CountingRelay:
    """Forwards the bytes of a connection in both directions and counts them."""

    def __init__(self, port: int) -> None:
        """Forward connections to `port`."""
        self.byte_count = 0
        self._port = port

    async def serve(self, reader: StreamReader, writer: StreamWriter) -> None:
        """Forward one connection until both sides close it."""
        target_reader, target_writer = await open_connection(_LOOPBACK, self._port)
        await gather(
            self._copy(reader, target_writer),
            self._copy(target_reader, writer),
        )

    async def _copy(self, reader: StreamReader, writer: StreamWriter) -> None:
        with suppress(ConnectionResetError):
            while not reader.at_eof():
                chunk = await reader.read(_CHUNK_BYTES)
                self.byte_count += len(chunk)
                writer.write(chunk)
        writer.close()


async def peer_call_bytes() -> float:
    """Return the bytes of a call with a short message, both directions together.

    Headers of TCP and IP are not included.
    """
    received: list[Message] = []
    receiver = Peers(received.append)
    sender = Peers(received.append)
    relay = _CountingRelay(await receiver.open(_LOOPBACK, 0))
    await sender.open(_LOOPBACK, 0)
    server = await start_server(relay.serve, _LOOPBACK, 0)
    relay_port = server.sockets[0].getsockname()[1]
    host = HostEntry('b1', 'dc-b', _LOOPBACK, 0, relay_port)
    for number in range(_CALLS):
        sender.send(host, JournalAck('a1', 1, number))
        while len(received) <= number:
            await sleep(0.001)
    byte_count = relay.byte_count
    await sender.close()
    await sleep(0.05)
    server.close()
    await receiver.close()
    return round(byte_count / _CALLS, 1)
