"""Ask upstreams' standard gRPC health service, as a hint for the slot keeper."""

from asyncio import Task, create_task, gather, sleep
from collections.abc import Callable
from random import random

from grpclib.client import Channel
from grpclib.health.v1.health_grpc import HealthStub
from grpclib.health.v1.health_pb2 import HealthCheckRequest, HealthCheckResponse

from bronzekeel.adapters.errors import CALL_ERRORS
from bronzekeel.core.events import Event, HealthHint

#: Interval of the questions, spread at random; an answer may take as long.
_PROBE_INTERVAL_S = 2.0


class HealthProber:
    """Ask the upstreams of the services whose slots are kept here.

    An endpoint that does not answer says nothing: only an answer is a hint.
    """

    def __init__(
        self,
        emit: Callable[[Event], None],
        list_upstreams: Callable[[], list[tuple[str, str]]],
        channel_to: Callable[[str], Channel],
    ) -> None:
        """Ask those that `list_upstreams` names, as service and endpoint, and feed `emit`."""
        self._emit = emit
        self._list_upstreams = list_upstreams
        self._channel_to = channel_to
        self._task: Task[None] | None = None

    def open(self) -> None:
        """Start to ask."""
        self._task = create_task(self._run())

    def close(self) -> None:
        """Ask no more."""
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
