"""Packet path of the balancer that routes by connection id, for the forward benchmark."""

from selectors import EVENT_READ

from bronzekeel.core.routing.connection_ids import encode_connection_id, route_tag_of
from bronzekeel.core.routing.decisions import NoDecisionLog
from bronzekeel.core.routing.messages import PeerAddress
from bronzekeel.core.routing.model import Route, RoutingText, ServiceShare, UpstreamEntry
from bronzekeel.core.routing.peers import PeerTable
from bronzekeel.core.routing.placement import LeastBusy
from bronzekeel.core.routing.state import RoutingState
from bronzekeel.core.routing.steering import ConnectionIdSteering
from bronzekeel.entry.loop import Loop
from bronzekeel.entry.packet_port import bind_packet_port
from bronzekeel.entry.packets import PacketSocket
from bronzekeel.platform.packets import PlatformPackets
from bronzekeel.standins.echo_packets import EchoSegment, build_echo


_LOOPBACK = '127.0.0.1'
_SERVICE = ('198.51.100.10', 443)
_KEY = bytes((198, 51, 100, 10, 1, 187))
_ACK = 128
_FLOWS = 64
_UPSTREAM_NUMBER = 42


class ConnectionIdPath:
    """A packet socket, a routing state with one upstream, and a batch of packets of its flows."""

    def __init__(self, sink: tuple[str, int]) -> None:
        """Route all flows to an upstream at `sink`."""
        own_address = PeerAddress('a1', 'dc-a', (_LOOPBACK, 0))
        state = RoutingState(PeerTable(own_address, ()), 1)
        route_tag = route_tag_of(_KEY)
        route = Route(_KEY, (ServiceShare('portal', 1),), route_tag)
        state.text = RoutingText(1, 1, {_KEY: route}, 15)
        entry = UpstreamEntry(
            name='i-2a',
            number=_UPSTREAM_NUMBER,
            service='portal',
            address=sink,
            data_centre='dc-a',
            slots=3,
            draining=False,
            cold_s=0,
            revision=1,
        )
        state.directory.apply(entry, 0)
        state.ready = True
        steering = ConnectionIdSteering(state, LeastBusy('dc-a', state.balance), NoDecisionLog())
        self._loop = Loop()
        self._socket = PacketSocket(
            self._loop,
            bind_packet_port((_LOOPBACK, 0)),
            PlatformPackets(0),
            steering,
            _raise_fault,
        )
        self.port = self._socket.port
        self.packets = [
            build_echo(
                EchoSegment(
                    (_LOOPBACK, 1024 + number),
                    _SERVICE,
                    _ACK,
                    encode_connection_id(_UPSTREAM_NUMBER, route_tag),
                    sequence=number,
                    payload=b'x' * 64,
                ),
            )
            for number in range(_FLOWS)
        ]

    def receive_batch(self) -> None:
        """Receive and forward the packets queued at the socket."""
        self._socket.receive_batch(EVENT_READ)

    def close(self) -> None:
        """Close the socket and the event loop."""
        self._socket.close()
        self._loop.close()


def _raise_fault(kind: str, raw: bytes) -> None:
    raise ValueError(f'{kind}: the benchmark sends only well-formed packets')
