"""Fails if docs/events.md and the enum EventId differ in a number or a name.

Run from the repository root without arguments. Prints one line; exits with 0 or 1.
"""

import pathlib
import re
import sys

HEADER = pathlib.Path("core/include/endivequay/events.h")
PAGE = pathlib.Path("docs/events.md")


def enum_events():
    text = HEADER.read_text(encoding="utf-8")
    body = re.search(r"enum class EventId\b[^{]*\{(.*?)\};", text, re.S)
    return re.findall(r"^\s*(\w+)\s*=\s*(\d+)", body[1], re.M) if body else []


def page_events():
    rows = re.findall(r"^\|\s*(\d+)\s*\|\s*(\w+)", PAGE.read_text(encoding="utf-8"), re.M)
    return [(name, number) for number, name in rows]


def main():
    declared, documented = enum_events(), page_events()
    differences = [f"{number} {name} is missing on the page"
              for name, number in declared if (name, number) not in documented]
    differences += [f"{number} {name} is not in the enum"
               for name, number in documented if (name, number) not in declared]
    if len(set(documented)) != len(documented):
        differences.append("an event is listed twice on the page")
    if not declared:
        differences.append("no event found in the enum")
    print("events: " + ("; ".join(differences) if differences else f"{len(declared)} agree"))
    return 1 if differences else 0


if __name__ == "__main__":
    sys.exit(main())
