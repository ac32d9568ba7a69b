"""Probe the standard gRPC health service of upstreams, as a hint for the slot keeper."""

from asyncio import Task, create_task, gather, sleep
from collections.abc import Callable
from random import random

from grpclib.client import Channel
from grpclib.health.v1.health_grpc import HealthStub
from grpclib.health.v1.health_pb2 import HealthCheckRequest, HealthCheckResponse

from bronzekeel.adapters.errors import CALL_ERRORS
from bronzekeel.core.events import Event, HealthHint

#: Mean interval between probes, randomised by half; also the timeout of a probe.
_PROBE_INTERVAL_S = 2.0


class HealthProber:
    """Probe the upstreams of the services whose slots this balancer keeps.

    A probe that fails gives no hint: only an answer does.
    """

    def __init__(
        self,
        emit: Callable[[Event], None],
        list_upstreams: Callable[[], list[tuple[str, str]]],
        channel_to: Callable[[str], Channel],
    ) -> None:
        """Probe the pairs of service and endpoint that `list_upstreams` returns."""
        self._emit = emit
        self._list_upstreams = list_upstreams
        self._channel_to = channel_to
        self._task: Task[None] | None = None

    def open(self) -> None:
        """Start probing."""
        self._task = create_task(self._run())

    def close(self) -> None:
        """Stop probing."""
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        while True:
            await gather(
                *(self._probe(service, endpoint) for service, endpoint in self._list_upstreams())
            )
            await sleep(_PROBE_INTERVAL_S * (0.5 + random()))

    async def _probe(self, service: str, endpoint: str) -> None:
        stub = HealthStub(self._channel_to(endpoint))
        try:
            answer = await stub.Check(HealthCheckRequest(), timeout=_PROBE_INTERVAL_S)
        except CALL_ERRORS:
            return
        serving = answer.status == HealthCheckResponse.SERVING
        self._emit(HealthHint(service, endpoint, serving))
