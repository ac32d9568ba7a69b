"""Replay the recorded events of one balancer through a new reducer state."""

from collections import Counter
from pathlib import Path

from msgspec import DecodeError, ValidationError
from msgspec.json import decode

from bronzekeel.balancer.recorder import TraceHead, TraceLine
from bronzekeel.core.reducer import reduce
from bronzekeel.core.state import BalancerState
from bronzekeel.replay.trace import TraceError, read_lines


def is_recorded(path: Path) -> bool:
    """Return whether a trace was recorded by a daemon.

    Raises TraceError if it cannot be read.
    """
    lines = read_lines(path)
    return bool(lines) and b'"incarnation"' in lines[0]


def replay_recorded(path: Path) -> dict[str, float]:
    """Return the number of effects by kind, and figures of the final state.

    Raises TraceError if the trace cannot be read or does not match the current format.
    """
    lines = read_lines(path)
    try:
        head = decode(lines[0], type=TraceHead)
        events = [decode(line, type=TraceLine) for line in lines[1:]]
    except (DecodeError, ValidationError) as error:
        raise TraceError(f'{path}: {error}; record the trace again') from error
    state = BalancerState.fresh(head.host, head.incarnation, head.at)
    effects: Counter[str] = Counter()
    for line in events:
        for effect in reduce(state, line.event, line.at):
            effects[f'effect.{type(effect).__name__}'] += 1
    outcomes: dict[str, float] = dict(sorted(effects.items()))
    outcomes['events'] = len(events)
    outcomes['balancers_ready'] = int(state.ready)
    outcomes['generation_least'] = state.rollout.generation
    outcomes['unsettled'] = len(state.steering.unsettled)
    return outcomes
