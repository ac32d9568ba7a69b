"""Encode and decode the names of all listed upstreams in a view."""

from typing import Any

from bronzekeel.core.routing.messages import View


def encode_listed(view: View) -> list[str] | bool | None:
    """Return the names of all listed upstreams; True if they are those of the entries."""
    if view.listed_names is None:
        return None
    if view.listed_names == {entry.name for entry in view.entries}:
        return True
    return sorted(view.listed_names)


def decode_listed(listed: Any, entry_names: list[str]) -> frozenset[str] | None:
    """Return the names that `encode_listed` encoded; `entry_names` are those of the entries."""
    if listed is None:
        return None
    return frozenset(entry_names if listed is True else map(str, listed))
