"""Test that a balancer finds a port that is free for datagrams and for streams."""

from itertools import repeat
from socket import socket
from unittest import TestCase

from bronzekeel.entry.port_pair import MAX_BIND_ATTEMPTS, bind_pair


_LOOPBACK = '127.0.0.1'


class BindPairTest(TestCase):
    """A datagram and a stream socket on the same port."""

    def test_a_port_in_use_for_streams_is_skipped(self) -> None:
        """Guards against a start that fails with "address already in use" for port 0.

        The kernel picks a port that is free for datagrams, but another process may use it for
        streams, so a single attempt can fail.  The other ports that the kernel picks in this test
        may be in use for streams too, so it makes as many attempts as a balancer.
        """
        with socket() as other:
            other.bind((_LOOPBACK, 0))
            other.listen()
            used_port = other.getsockname()[1]
            datagrams, streams = bind_pair(_LOOPBACK, (used_port, *repeat(0, MAX_BIND_ATTEMPTS)))
        self.assertEqual(datagrams.getsockname()[1], streams.getsockname()[1])
        self.assertNotEqual(used_port, streams.getsockname()[1])
        datagrams.close()
        streams.close()

    def test_a_fixed_port_in_use_is_an_error(self) -> None:
        """A port from the settings is not replaced by another one."""
        with socket() as other:
            other.bind((_LOOPBACK, 0))
            other.listen()
            used_port = other.getsockname()[1]
            with self.assertRaises(OSError):
                bind_pair(_LOOPBACK, (used_port, used_port))
