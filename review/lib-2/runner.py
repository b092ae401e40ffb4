"""A runner of the users' platform as a process of its own. It prints its address, and then one line
for each request that begins to run or ends: `run ID PATH`, `end ID`, `half ID`. It runs what names
it in X-Expect-Instance, and answers 421 to the rest."""

import argparse
import asyncio
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from standin import read_body, read_head, query_of  # noqa: E402

PARSER = argparse.ArgumentParser()
PARSER.add_argument("--id", required=True)
PARSER.add_argument("--ip", default="127.0.0.1")
PARSER.add_argument("--port", type=int, default=0)
PARSER.add_argument("--work-ms", type=float, default=15)
PARSER.add_argument("--body-bytes", type=int, default=800)
# The answer has no length and ends with its connection; it is written in two parts.
PARSER.add_argument("--unframed", action="store_true")
# The pause between the two parts of an answer, and between the events of a stream.
PARSER.add_argument("--pause-ms", type=float, default=0)
PARSER.add_argument("--events", type=int, default=40)
PARSER.add_argument("--event-ms", type=float, default=100)
# Fails this share of its requests after it has run them, with this status.
PARSER.add_argument("--fail-status", type=int, default=500)
PARSER.add_argument("--fail-every", type=int, default=0)
PARSER.add_argument("--unsigned", action="store_true")
# How many requests run at once; the rest is rejected as by a runner that is full (0: no limit).
PARSER.add_argument("--slots", type=int, default=0)
# The newest stream of a full runner pauses after its event of this number: it is preempted and read
# in again.
PARSER.add_argument("--preempt-after", type=int, default=0)
PARSER.add_argument("--preempt-ms", type=float, default=0)
OPTIONS = PARSER.parse_args()
COUNT = 0
RUNNING = 0


def say(*words):
    print(*words, flush=True)


def head_of(status, request_id, signed=True, **more):
    lines = ["HTTP/1.1 %d X" % status, "X-Request-Id: %s" % request_id]
    if signed:
        lines.append("X-Response-Signature: %s.%s" % (OPTIONS.id, request_id))
    lines += ["%s: %s" % (name.replace("_", "-"), value) for name, value in more.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def body_of(request_id):
    """The body of a plain answer; the client can tell whether it is whole."""
    text = "begin %s " % request_id
    return (text + "." * (OPTIONS.body_bytes - len(text) - 4) + " end").encode()


async def answer(writer, request_id, path, headers):
    """Writes the answer. Returns whether the connection stays open."""
    global RUNNING
    if OPTIONS.slots and RUNNING >= OPTIONS.slots:
        writer.write(head_of(503, request_id, signed=False, X_Not_Executed=1, Content_Length=0))
        say("full", request_id)
        return True
    RUNNING += 1
    try:
        return await run(writer, request_id, path, headers)
    finally:
        RUNNING -= 1


async def run(writer, request_id, path, headers):
    global COUNT
    COUNT += 1
    say("run", request_id, path)
    await asyncio.sleep(OPTIONS.work_ms / 1e3)
    if OPTIONS.fail_every and COUNT % OPTIONS.fail_every == 0:
        writer.write(head_of(OPTIONS.fail_status, request_id, signed=not OPTIONS.unsigned,
                             Content_Length=0))
        say("end", request_id, OPTIONS.fail_status)
        return True
    if path.startswith(("/draft", "/once")):
        return await stream(writer, request_id, headers)
    body = body_of(request_id)
    if not OPTIONS.unframed:
        writer.write(head_of(200, request_id, Content_Length=len(body)) + body)
        say("end", request_id, 200)
        return True
    half = len(body) // 2
    writer.write(head_of(200, request_id, Connection="close") + body[:half])
    await writer.drain()
    say("half", request_id)
    await asyncio.sleep(OPTIONS.pause_ms / 1e3)
    writer.write(body[half:])
    say("end", request_id, 200)
    return False


async def pause(writer, milliseconds):
    """Waits, and stops the request if its connection closes meanwhile."""
    until = asyncio.get_running_loop().time() + milliseconds / 1e3
    while (left := until - asyncio.get_running_loop().time()) > 0:
        await asyncio.sleep(min(left, 0.02))
        if writer.transport.is_closing() or writer.caller.at_eof():
            raise ConnectionResetError("the caller has closed the connection")


async def stream(writer, request_id, headers):
    is_newest = OPTIONS.slots and RUNNING == OPTIONS.slots
    after = int(headers.get("last-event-id", "0"))
    if OPTIONS.unframed:
        more = {"Connection": "close"}
    else:
        more = {"Transfer-Encoding": "chunked"}
    writer.write(head_of(200, request_id, Content_Type="text/event-stream", X_Weight_Versions=1,
                         **more))
    for number in range(after + 1, OPTIONS.events + 1):
        event = b"id: %d\ndata: piece %d of %d\n\n" % (number, number, OPTIONS.events)
        writer.write(event if OPTIONS.unframed else b"%x\r\n%s\r\n" % (len(event), event))
        await writer.drain()
        if number == OPTIONS.preempt_after and is_newest:
            say("preempted", request_id)
            await pause(writer, OPTIONS.preempt_ms)
            say("resumed", request_id)
        elif number < OPTIONS.events:
            await pause(writer, OPTIONS.event_ms)
    if not OPTIONS.unframed:
        writer.write(b"0\r\n\r\n")
    say("end", request_id, 200)
    return not OPTIONS.unframed


async def serve(reader, writer):
    writer.caller = reader
    request_id = ""
    try:
        while True:
            head = await read_head(reader)
            if head is None:
                break
            method, target, _ = head[0].split(" ", 2)
            headers = head[1]
            await read_body(reader, headers)
            request_id = headers.get("x-request-id", "")
            path, _ = query_of(target)
            if path in ("/health", "/report"):
                writer.write(b"HTTP/1.1 200 X\r\nX-Instance-Id: " + OPTIONS.id.encode()
                             + b"\r\nContent-Length: 2\r\n\r\n{}")
                continue
            if headers.get("x-expect-instance", OPTIONS.id) != OPTIONS.id:
                writer.write(b"HTTP/1.1 421 X\r\nX-Not-Executed: 1\r\nX-Request-Id: "
                             + request_id.encode() + b"\r\nContent-Length: 0\r\n\r\n")
                await writer.drain()
                continue
            if not await answer(writer, request_id, path, headers):
                await writer.drain()
                break
            await writer.drain()
    except (ConnectionError, asyncio.IncompleteReadError):
        say("dropped", request_id)
    finally:
        writer.close()


async def main():
    server = await asyncio.start_server(serve, OPTIONS.ip, OPTIONS.port)
    say("%s:%d" % server.sockets[0].getsockname()[:2])
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
