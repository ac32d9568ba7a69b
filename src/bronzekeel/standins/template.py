"""Fill in a settings template as the platform does: values, and sections for lists."""

import re
from collections.abc import Mapping
from json import dumps as encode_json
from typing import Any


_SECTION = re.compile(r'\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}', re.DOTALL)
_PLACE = re.compile(r'\{\{([\w.]+)\|json\}\}')
_COMMA = '{{,}}'
_THIS = '.'


def filled(template: str, fields: Mapping[str, Any]) -> str:
    """Return a template with its places filled from `fields`."""
    whole = _SECTION.sub(lambda match: _section(match, fields), template)
    return _with_places(whole, fields)


def _with_places(template: str, fields: Mapping[str, Any]) -> str:
    return _PLACE.sub(lambda match: encode_json(_found(fields, match[1])), template)


def _section(match: re.Match[str], fields: Mapping[str, Any]) -> str:
    listed = _found(fields, match[1])
    if not isinstance(listed, list):
        return '' if listed is None else _with_places(match[2], fields)
    parts = []
    for place, item in enumerate(listed):
        comma = ',' if place < len(listed) - 1 else ''
        body = match[2].replace(_COMMA, comma)
        parts.append(_with_places(body, {**fields, _THIS: item}))
    return ''.join(parts)


def _found(fields: Mapping[str, Any], name: str) -> Any:
    """Return what stands under a dotted name, None if nothing does, or the current item."""
    if name == _THIS:
        return fields[_THIS]
    found: Any = fields
    for part in name.split('.'):
        if found is None:
            break
        found = found.get(part)
    return found
