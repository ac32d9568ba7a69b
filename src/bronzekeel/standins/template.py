"""Render a settings template as the platform does: placeholders, and sections for lists."""

import re
from collections.abc import Mapping
from json import dumps as encode_json
from typing import Any


_SECTION = re.compile(r'\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}', re.DOTALL)
_PLACEHOLDER = re.compile(r'\{\{([\w.]+)\|json\}\}')
_SEPARATOR = '{{,}}'
_CURRENT_ITEM = '.'


def fill_template(template: str, fields: Mapping[str, Any]) -> str:
    """Return a template with its sections and placeholders filled from `fields`."""
    whole = _SECTION.sub(lambda match: _fill_section(match, fields), template)
    return _fill_placeholders(whole, fields)


def _fill_placeholders(template: str, fields: Mapping[str, Any]) -> str:
    return _PLACEHOLDER.sub(lambda match: encode_json(_lookup(fields, match[1])), template)


def _fill_section(match: re.Match[str], fields: Mapping[str, Any]) -> str:
    value = _lookup(fields, match[1])
    if not isinstance(value, list):
        return '' if value is None else _fill_placeholders(match[2], fields)
    parts = []
    for index, item in enumerate(value):
        comma = ',' if index < len(value) - 1 else ''
        body = match[2].replace(_SEPARATOR, comma)
        parts.append(_fill_placeholders(body, {**fields, _CURRENT_ITEM: item}))
    return ''.join(parts)


def _lookup(fields: Mapping[str, Any], name: str) -> Any:
    """Return the value under a dotted name, None if there is none; `.` is the current item."""
    if name == _CURRENT_ITEM:
        return fields[_CURRENT_ITEM]
    value: Any = fields
    for part in name.split('.'):
        if value is None:
            break
        value = value.get(part)
    return value
