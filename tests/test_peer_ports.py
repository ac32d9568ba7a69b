"""Test that a balancer finds a port for datagrams and calls."""

from itertools import repeat
from socket import socket
from unittest import TestCase

from bronzekeel.entry.port_pair import MAX_BIND_ATTEMPTS, bind_pair


_LOOPBACK = '127.0.0.1'


class BindPairTest(TestCase):
    """Bind one port for two kinds of socket."""

    def test_a_port_taken_for_streams_is_passed_over(self) -> None:
        """Symptom: a balancer does not start: "address already in use" for port 0.

        Sequence: the kernel gives a port that is free for datagrams; another
        process has the same number for streams.
        Cause: asking for any port once, and for its twin without a second try.  Any port may be
        taken for streams too, so there are as many tries as a balancer makes.
        """
        with socket() as other:
            other.bind((_LOOPBACK, 0))
            other.listen()
            taken = other.getsockname()[1]
            datagrams, calls = bind_pair(_LOOPBACK, (taken, *repeat(0, MAX_BIND_ATTEMPTS)))
        self.assertEqual(datagrams.getsockname()[1], calls.getsockname()[1])
        self.assertNotEqual(taken, calls.getsockname()[1])
        datagrams.close()
        calls.close()

    def test_a_fixed_port_that_is_taken_is_refused(self) -> None:
        """A port that the settings name is tried as it is."""
        with socket() as other:
            other.bind((_LOOPBACK, 0))
            other.listen()
            taken = other.getsockname()[1]
            with self.assertRaises(OSError):
                bind_pair(_LOOPBACK, (taken, taken))
