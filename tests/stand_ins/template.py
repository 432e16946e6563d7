"""Fills in a settings template as DEPLOY.md describes it."""

import json
import re

_TAG = re.compile(r"\{\{([#^/]?)([^{}]*)\}\}")


def _lookup(scopes, name):
    if name == ".":
        return scopes[-1]
    for scope in reversed(scopes):
        value = scope
        for part in name.split("."):
            if isinstance(value, dict) and part in value:
                value = value[part]
            elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                value = value[int(part)]
            else:
                value = None
                break
        if value is not None:
            return value
    return None


def _section_end(text, name, start):
    """The positions of the end of the section's content and of the end of its closing tag."""
    depth = 1
    for tag in _TAG.finditer(text, start):
        if tag.group(2) != name:
            continue
        if tag.group(1) == "/":
            depth -= 1
            if depth == 0:
                return tag.start(), tag.end()
        elif tag.group(1) in "#^":
            depth += 1
    raise ValueError(f"the section {name} does not end")


def _text(value, as_json):
    if as_json:
        return json.dumps(value)
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, list):
        return ",".join(_text(each, False) for each in value)
    if isinstance(value, dict):
        return json.dumps(value)
    return str(value)


def render(text, scopes):
    """The template with its placeholders and sections replaced."""
    out = []
    position = 0
    while True:
        tag = _TAG.search(text, position)
        if tag is None:
            out.append(text[position:])
            return "".join(out)
        out.append(text[position:tag.start()])
        kind, name = tag.group(1), tag.group(2)
        position = tag.end()
        if kind in ("#", "^"):
            content_end, position = _section_end(text, name, tag.end())
            content = text[tag.end():content_end]
            value = _lookup(scopes, name)
            if kind == "^":
                entries = [] if value else [scopes[-1]]
            elif isinstance(value, list):
                entries = value
            else:
                entries = [value] if value is not None and value is not False else []
            out.extend(render(content, scopes + [entry]) for entry in entries)
        elif kind == "":
            name, _, form = name.partition("|")
            out.append(_text(_lookup(scopes, name), form == "json"))
