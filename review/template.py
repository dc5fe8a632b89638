"""Fills the gaps of deploy/router.ini as DEPLOY.md describes them."""
import json
import re

GAP = re.compile(r"\{\{([#^/]?)([^{}]*)\}\}")


def look_up(name, scopes):
    if name == ".":
        return scopes[-1]
    for scope in reversed(scopes):
        value = scope
        for part in name.split("."):
            if isinstance(value, dict) and part in value:
                value = value[part]
            elif isinstance(value, list) and part.isdigit():
                value = value[int(part)] if int(part) < len(value) else None
            else:
                value = None
                break
        if value is not None:
            return value
    return None


def show(value):
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, list):
        return ",".join(show(item) for item in value)
    if isinstance(value, dict):
        return json.dumps(value)
    return str(value)


def section_end(text, start, name):
    depth = 1
    for gap in GAP.finditer(text, start):
        if gap.group(2) == name and gap.group(1) in "#^/" and gap.group(1):
            depth += -1 if gap.group(1) == "/" else 1
            if depth == 0:
                return gap
    raise ValueError("no end of section " + name)


def entries(value):
    if isinstance(value, dict):
        return list(value.items())
    if isinstance(value, list):
        return list(enumerate(value))
    return [(0, value)] if value else []


def fill(text, scopes, key=None, is_last=True):
    out = []
    at = 0
    while True:
        gap = GAP.search(text, at)
        if not gap:
            out.append(text[at:])
            return "".join(out)
        out.append(text[at:gap.start()])
        at = gap.end()
        kind, name = gap.group(1), gap.group(2)
        if kind in ("#", "^") and kind:
            end = section_end(text, at, name)
            inner = text[at:end.start()]
            found = entries(look_up(name, scopes))
            if kind == "^":
                out.append("" if found else fill(inner, scopes))
            else:
                for number, (entry_key, entry) in enumerate(found):
                    out.append(fill(inner, scopes + [entry], entry_key,
                                    number + 1 == len(found)))
            at = end.end()
        elif name == "@":
            out.append(str(key))
        elif name == ",":
            out.append("" if is_last else ",")
        elif name.endswith("|json"):
            out.append(json.dumps(look_up(name[:-5], scopes)))
        else:
            out.append(show(look_up(name, scopes)))
