"""A model replica as PROTOCOL.md describes it, as a process of its own.

It serves streams, checks Expect-Instance, and writes each request that reaches
it, each run and its own crash as a line of JSON to a log. A request whose body
is that of --crash-body crashes it when it begins to run: the process ends.
"""
import argparse
import asyncio
import json
import os
import random
import time

options = argparse.ArgumentParser()
options.add_argument("--id", required=True)
options.add_argument("--listen", required=True)
options.add_argument("--log", required=True)
options.add_argument("--crash-body", default="")
options.add_argument("--plain", action="store_true")
options.add_argument("--slots", type=int, default=128)
options.add_argument("--queue", type=int, default=3,
                     help="requests that wait while all slots are taken")
options.add_argument("--events", type=int, default=30)
options.add_argument("--gap-ms", type=int, default=250)
options.add_argument("--first-ms", type=int, default=40)
options.add_argument("--extra-late", type=float, default=0,
                     help="share of the answers that come a second time, late")
options.add_argument("--shed", type=float, default=0,
                     help="share of the requests that are rejected as if full")
options.add_argument("--read-kbps", type=int, default=0,
                     help="how fast bodies are read, in KB a second; 0: at once")
flags = options.parse_args()

HOST, PORT = flags.listen.rsplit(":", 1)
LOG = os.open(flags.log, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o644)
EPOCH = int(time.time() * 1000)
TOKENS_PER_RUN = 300
READ_BYTES = 32768
running = 0
slots = asyncio.Semaphore(flags.slots)
event_calls = 0
# By salt and the parts of a prompt up to one: the tenant whose run made it.
cache = {}
cache_events = []


def note(what, **fields):
    line = {"at_ms": int(time.monotonic() * 1000), "replica": flags.id,
            "what": what, **fields}
    os.write(LOG, (json.dumps(line) + "\n").encode())


async def read_body(reader, size):
    if not flags.read_kbps:
        return await reader.readexactly(size)
    body = bytearray()
    while len(body) < size:
        body += await reader.readexactly(min(size - len(body), READ_BYTES))
        await asyncio.sleep(READ_BYTES / flags.read_kbps / 1000)
    return bytes(body)


async def read_request(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    body = b""
    if "chunked" in headers.get("transfer-encoding", "").lower():
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if size:
                body += await reader.readexactly(size)
            await reader.readline()
            if not size:
                break
    else:
        body = await read_body(reader, int(headers.get("content-length", "0")))
    return method, target, headers, body


class Extras:
    """Answers that come a second time, when the next answer is due on their
    connection; they bear the Request-Id of the first time."""

    def __init__(self):
        self.text = b""
        self.request = ""

    def maybe_keep(self, request, text):
        if random.random() < flags.extra_late:
            self.request, self.text = request, text

    def send(self, writer):
        if self.text:
            note("extra answer", request=self.request)
            writer.write(self.text)
            self.text = b""


def answer(writer, status, body=b"", fields=(), kind="application/json"):
    reason = {200: "OK"}.get(status, "Status")
    head = [f"HTTP/1.1 {status} {reason}", f"Content-Type: {kind}",
            f"Content-Length: {len(body)}", f"Instance-Id: {flags.id}"]
    head += [f"{name}: {value}" for name, value in fields]
    text = "\r\n".join(head).encode() + b"\r\n\r\n" + body
    writer.write(text)
    return text


def answer_json(writer, value):
    answer(writer, 200, json.dumps(value).encode())


async def serve_events(writer, target, headers):
    global event_calls
    if event_calls >= 16:
        answer(writer, 429)
        return
    query = dict(one.partition("=")[::2]
                 for one in target.partition("?")[2].split("&"))
    since = int(query.get("since", "0") or "0")
    end = time.monotonic() + min(int(headers.get("wait-ms", "0")), 1000) / 1000
    event_calls += 1
    while len(cache_events) <= since and time.monotonic() < end:
        await asyncio.sleep(0.02)
    event_calls -= 1
    answer_json(writer, {"epoch": EPOCH, "next_page_token": len(cache_events),
                         "lost": False, "events": cache_events[since:]})


def use_cache(headers):
    """Returns the tenants whose runs made the cached parts that a run uses,
    and caches the rest of its prompt. The last part is the run's own."""
    salt = headers.get("cache-salt", "")
    tenant = headers.get("tenant-name", "")
    prompt = [one.partition(":")[::2]
              for one in headers.get("prompt-prefix", "").split(",") if one]
    makers, hit = [], True
    for i, (part, tokens) in enumerate(prompt):
        key = (salt, tuple(one for one, _ in prompt[:i + 1]))
        hit = hit and key in cache
        if hit:
            makers.append(cache[key])
            continue
        if key not in cache:
            cache[key] = tenant
            cache_events.append([len(cache_events) + 1, "+", salt, part,
                                 int(tokens), "m1"])
    return makers


async def serve_stream(writer, headers, request):
    head = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked", f"Instance-Id: {flags.id}",
            f"Request-Id: {request}", f"Response-Stamp: {flags.id}.{request}",
            "Weight-Versions: 1"]
    writer.write("\r\n".join(head).encode() + b"\r\n\r\n")
    number = int(headers.get("last-event-id", "0") or "0")
    while number < flags.events:
        number += 1
        event = f"id: {number}\ndata: token{number}\n\n".encode()
        writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        await writer.drain()
        if number < flags.events:
            await asyncio.sleep(flags.gap_ms / 1000)
    writer.write(b"0\r\n\r\n")
    await writer.drain()


async def serve_request(writer, headers, body, extras):
    global running
    request = headers.get("request-id", "")
    note("arrival", request=request, tenant=headers.get("tenant-name", ""),
         body=body.decode("latin-1")[:40])
    if headers.get("expect-instance", flags.id) != flags.id:
        answer(writer, 421)
        return
    if not request:
        answer(writer, 400, fields=[("Not-Executed", "1")])
        return
    if running >= flags.slots + flags.queue or random.random() < flags.shed:
        note("rejected", request=request)
        extras.maybe_keep(request, answer(writer, 503, fields=[
            ("Not-Executed", "1"), ("Request-Id", request)]))
        return
    running += 1
    slot = False
    try:
        await slots.acquire()
        slot = True
        await asyncio.sleep(flags.first_ms / 1000)
        note("run", request=request, body=body.decode("latin-1")[:40],
             after=headers.get("last-event-id", ""),
             tenant=headers.get("tenant-name", ""),
             salt=headers.get("cache-salt", ""),
             uses_cache_of=use_cache(headers))
        if flags.crash_body and body == flags.crash_body.encode():
            note("crash", request=request, running=running)
            os._exit(1)
        if flags.plain:
            extras.maybe_keep(request, answer(writer, 200, b"done", [
                ("Request-Id", request),
                ("Response-Stamp", f"{flags.id}.{request}")], "text/plain"))
        else:
            await serve_stream(writer, headers, request)
    finally:
        running -= 1
        if slot:
            slots.release()


async def serve(reader, writer):
    extras = Extras()
    try:
        while True:
            method, target, headers, body = await read_request(reader)
            extras.send(writer)
            path = target.split("?")[0]
            if method == "GET" and path == "/report":
                answer_json(writer, {
                    "stage": "combined", "busy": False, "sequence": 0,
                    "models": [{"name": "m1", "version": 1, "adapters": []}],
                    "waiting": 0, "running": running, "handles": 0,
                    "kv_cache_used": running * TOKENS_PER_RUN,
                    "kv_cache_total": 213154})
            elif method == "GET" and path == "/kv-events":
                await serve_events(writer, target, headers)
            elif method == "GET" and path == "/kv-list":
                answer_json(writer, {
                    "epoch": EPOCH, "next_page_token": len(cache_events),
                    "held": [[salt, part, tokens, model] for
                             _, _, salt, part, tokens, model in cache_events]})
            elif method == "GET" and path == "/health":
                answer(writer, 200)
            elif method == "POST" and path == "/order":
                answer(writer, 400)
            else:
                await serve_request(writer, headers, body, extras)
            await writer.drain()
    except (asyncio.IncompleteReadError, ConnectionError):
        pass
    finally:
        writer.close()


async def main():
    server = await asyncio.start_server(serve, HOST, int(PORT), backlog=1024,
                                        limit=1 << 16)
    note("start")
    async with server:
        await server.serve_forever()


asyncio.run(main())
