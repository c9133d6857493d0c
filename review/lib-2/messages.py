"""The record of a case, and HTTP/1.1 messages on asyncio streams."""

import asyncio
import time
from pathlib import Path


class Record:
    """Writes record.txt: what was sent, answered and run, with the seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self.file = open(folder / "record.txt", "w", encoding="utf-8")
        self.started_at = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self.started_at

    def write(self, text: str) -> None:
        self.file.write(f"{self.now():8.3f} {text}\n")

    def say(self, text: str) -> None:
        self.write(text)
        self.file.flush()
        print(text, flush=True)


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes] | None:
    """Returns start line, header fields by lower-case name and body, or None at an orderly end."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    first, *lines = head.split("\r\n")
    fields = {}
    for line in filter(None, lines):
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    length = int(fields.get("content-length", "0"))
    return first, fields, await reader.readexactly(length) if length else b""


def encode(first: str, fields: dict[str, str], body: bytes = b"") -> bytes:
    lines = [first, *(f"{name}: {value}" for name, value in fields.items()), f"Content-Length: {len(body)}"]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body
