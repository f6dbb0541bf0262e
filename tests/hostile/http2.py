"""Frames of HTTP/2 for a crowd at the VMs' own port, and members that send as much as they may."""

import asyncio
import contextlib

__all__ = ["PREFACE", "endless_head", "send_messages"]

PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
DATA, HEADERS, SETTINGS, WINDOW_UPDATE, CONTINUATION = 0x0, 0x1, 0x4, 0x8, 0x9
SETTINGS_ACK = 0x1
END_HEADERS = 0x4
INITIAL_WINDOW = 65_535
INITIAL_WINDOW_SETTING = 4
FRAME_BYTES = 16_384
FRAME_HEAD_BYTES = 9
METHOD = b"/hornbeamramp.Peer/Hello"


def frame(kind: int, flags: int, stream: int, payload: bytes) -> bytes:
    head = len(payload).to_bytes(3, "big") + bytes([kind, flags]) + stream.to_bytes(4, "big")
    return head + payload


def literal(name: bytes, value: bytes) -> bytes:
    """Returns a field of a head, neither indexed nor compressed; both parts are short."""
    return b"\x00" + bytes([len(name)]) + name + bytes([len(value)]) + value


# Method POST, scheme http, and the fields of a gRPC call.
CALL_HEAD = b"\x83\x86" + b"".join(
    literal(name, value)
    for name, value in (
        (b":path", METHOD),
        (b":authority", b"vm"),
        (b"te", b"trailers"),
        (b"content-type", b"application/grpc"),
    )
)


def endless_head(total: int) -> list[bytes]:
    """Returns a connection's first frames: a head that goes on for ``total`` bytes, without end."""
    field = literal(b"x-fill", b"y" * 100)
    block = field * (FRAME_BYTES // len(field))
    frames = [frame(CONTINUATION, 0, 1, block) for _ in range(total // len(block))]
    return [PREFACE + frame(SETTINGS, 0, 0, b""), frame(HEADERS, 0, 1, CALL_HEAD), *frames]


async def send_messages(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, streams: int, size: int
) -> None:
    """Sends a message of ``size`` bytes on each stream but for its last byte, as the windows of
    the receiver allow. Goes on until the connection ends or everything is sent."""
    numbers = [2 * number + 1 for number in range(streams)]
    left = {number: b"\x00" + size.to_bytes(4, "big") + bytes(size - 1) for number in numbers}
    window = dict.fromkeys((0, *numbers), INITIAL_WINDOW)
    heads = (frame(HEADERS, END_HEADERS, number, CALL_HEAD) for number in numbers)
    writer.write(PREFACE + frame(SETTINGS, 0, 0, b"") + b"".join(heads))
    with contextlib.suppress(OSError, EOFError):
        while any(left.values()):
            for number in numbers:
                while room := min(window[0], window[number], FRAME_BYTES, len(left[number])):
                    writer.write(frame(DATA, 0, number, left[number][:room]))
                    left[number] = left[number][room:]
                    window[0] -= room
                    window[number] -= room
            await writer.drain()
            await _read_frame(reader, writer, window)


async def _read_frame(reader, writer, window: dict[int, int]) -> None:
    """Reads one frame and applies what it says about the windows."""
    head = await reader.readexactly(FRAME_HEAD_BYTES)
    kind, flags, stream = head[3], head[4], int.from_bytes(head[5:], "big")
    payload = await reader.readexactly(int.from_bytes(head[:3], "big"))
    if kind == WINDOW_UPDATE and stream in window:
        window[stream] += int.from_bytes(payload, "big")
    elif kind == SETTINGS and not flags:
        writer.write(frame(SETTINGS, SETTINGS_ACK, 0, b""))
        for start in range(0, len(payload), 6):
            setting = int.from_bytes(payload[start : start + 2], "big")
            if setting == INITIAL_WINDOW_SETTING:
                change = int.from_bytes(payload[start + 2 : start + 6], "big") - INITIAL_WINDOW
                for number in window:
                    window[number] += change if number else 0
