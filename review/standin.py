"""Stand-ins of the users' platform for the scripts of this folder: store, cloud, runners, clients.

They follow PROTOCOL.md. Every address is a loopback address. Only the standard library is used.
"""
import asyncio
import base64
import json
import os
import random
import signal
import sys
import tempfile
import time
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PROGRAM = os.path.join(ROOT, "target", "deploy", "bronzespindle")


class CannotRun(Exception):
    """The case can't run here (exit status 2)."""


class Record:
    """What was sent, answered and run, with the time since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def add(self, text):
        self.file.write("%9.3f %s\n" % (self.now(), text))
        self.file.flush()


async def read_head(reader):
    """Reads the head of a message: first line, headers in lower case; None at the end."""
    line = await reader.readline()
    if not line:
        return None
    headers = {}
    while True:
        field = await reader.readline()
        if not field:
            return None
        field = field.rstrip(b"\r\n")
        if not field:
            return line.rstrip(b"\r\n").decode("latin1"), headers
        name, _, value = field.partition(b":")
        headers[name.strip().lower().decode("latin1")] = value.strip().decode("latin1")


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            data = await reader.readexactly(size)
            await reader.readexactly(2)
            if not size:
                return b"".join(parts)
            parts.append(data)
    return await reader.readexactly(int(headers.get("content-length", 0)))


def message(status, body=b"", headers=()):
    head = "HTTP/1.1 %s\r\nContent-Length: %d\r\n" % (status, len(body))
    head += "".join("%s: %s\r\n" % pair for pair in headers)
    return head.encode() + b"\r\n" + body


class Server:
    """An HTTP/1.1 server on a free port of a loopback address."""

    def __init__(self, host="127.0.0.1"):
        self.host = host
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.accept, self.host, 0, limit=1 << 23)
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = "%s:%d" % (self.host, self.port)
        return self

    async def accept(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                line, headers = head
                method, target, _ = line.split(" ", 2)
                body = await read_body(reader, headers)
                if await self.handle(method, target, headers, body, reader, writer) is False:
                    break
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Store(Server):
    """The platform's store: a log with topics, of which each has one partition here."""

    def __init__(self, record):
        super().__init__()
        self.record = record
        self.topics = {}
        self.changed = asyncio.Event()
        self.status = None
        self.delay = 0.004

    def records(self, topic):
        return self.topics.setdefault(topic, [])

    def append(self, topic, data):
        self.records(topic).append(data)
        self.changed.set()
        self.changed = asyncio.Event()
        return len(self.topics[topic]) - 1

    def put(self, topic, key, value):
        data = b"" if value is None else json.dumps(value).encode()
        self.append(topic, bytes([len(key)]) + key.encode() + data)

    async def handle(self, method, target, headers, body, reader, writer, rewrite=bytes):
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        topic = query.get("topic", "")
        # SYSTEM.md: 4 ms an answer.
        await asyncio.sleep(self.delay)
        if self.status:
            writer.write(message(self.status))
        elif url.path == "/log-append":
            found = []
            while body:
                size = int.from_bytes(body[:4], "big")
                found.append(body[4:4 + size])
                body = body[4 + size:]
            end = len(self.records(topic))
            if "at" in query and int(query["at"]) != end:
                writer.write(message("412 Precondition Failed", json.dumps({"end-offset": end}).encode()))
            else:
                for data in found:
                    self.append(topic, data)
                answer = {"offset": end, "end-offset": end + len(found)}
                writer.write(message("200 OK", json.dumps(answer).encode()))
        elif url.path == "/log-read":
            start = int(query["from"])
            until = time.monotonic() + int(query.get("wait-ms", 0)) / 1e3
            while len(self.records(topic)) <= start and time.monotonic() < until:
                try:
                    left = max(0.0, until - time.monotonic())
                    await asyncio.wait_for(asyncio.shield(self.changed.wait()), left)
                except asyncio.TimeoutError:
                    pass
            found = self.records(topic)
            answer = len(found).to_bytes(8, "big") + (0).to_bytes(8, "big")
            for data in map(rewrite, found[start:]):
                answer += len(data).to_bytes(4, "big") + data
            writer.write(message("200 OK", answer))
        elif url.path == "/log-newest":
            newest = {}
            for offset, data in enumerate(self.records(topic)):
                data = rewrite(data)
                size = data[0]
                newest[data[1:1 + size].decode()] = (offset, data[1 + size:])
            items = [
                {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
                for key, (offset, value) in sorted(newest.items()) if value
            ]
            answer = {"items": items, "has-more": False, "end-offset": len(self.records(topic))}
            writer.write(message("200 OK", json.dumps(answer).encode()))
        else:
            writer.write(message("404 Not Found"))
        await writer.drain()


class Cloud(Server):
    """The platform's API: accepts the calls of the duties and refuses those of a lower epoch."""

    def __init__(self, record):
        super().__init__()
        self.record = record
        self.highest = {}
        self.calls = []

    async def handle(self, method, target, headers, body, reader, writer):
        call = json.loads(body)
        subject = (target, call.get("service"), call.get("zone"))
        fence = int(headers["x-fencing-token"])
        refused = fence < self.highest.get(subject, 0)
        if not refused:
            self.highest[subject] = fence
            self.calls.append((target, headers["x-duty-holder"], fence, call))
        self.record.add("cloud %s holder=%s fence=%d refused=%s %s" % (
            target, headers["x-duty-holder"], fence, refused, json.dumps(call)))
        if refused:
            writer.write(message("409 Conflict", b"a higher fence was seen"))
        else:
            writer.write(message("200 OK"))
        await writer.drain()


class Runner(Server):
    """A runner that registers itself and reports as alive every `heartbeat-ms`."""

    def __init__(self, record, store, name, service, zone="kano-a", slots=32, events=60, interval=0.03, work=0.02):
        super().__init__()
        self.record, self.store, self.name, self.service = record, store, name, service
        self.zone, self.slots = zone, slots
        self.events, self.interval, self.work = events, interval, work
        self.running, self.prefill, self.mute = 0, 0.0, 0.0
        self.runs, self.whole = [], []
        self.sequence = 0
        self.born = int(time.time() * 1000)

    async def start(self):
        await super().start()
        self.beating = asyncio.create_task(self.beat())
        return self

    def event(self, request, number):
        return b"id: %d\ndata: %s %d\n\n" % (number, request.encode(), number)

    async def beat(self):
        while True:
            self.sequence += 1
            self.store.put("keyed.servers", self.name, {
                "service": self.service, "address": self.address, "zone": self.zone,
                "version": "v1", "slots": self.slots, "state": "ready", "cold-remaining-ms": 0,
                "sequence": self.sequence, "born": self.born})
            await asyncio.sleep(1.2)

    async def handle(self, method, target, headers, body, reader, writer):
        request = headers.get("x-request-id", "")
        if headers.get("x-expect-instance") != self.name:
            writer.write(message("421 Misdirected Request", headers=[("X-Instance-Id", self.name)]))
            await writer.drain()
            return
        if self.running >= self.slots:
            writer.write(message("503 Service Unavailable", headers=[
                ("X-Not-Executed", "1"), ("X-Request-Id", request)]))
            await writer.drain()
            return
        self.running += 1
        self.runs.append(request)
        self.record.add("run %s at %s" % (request, self.name))
        try:
            if random.random() < self.mute:
                self.record.add("mute %s at %s" % (request, self.name))
                # Works on it until the caller leaves or its time is over, and answers nothing.
                left = int(headers.get("x-deadline-remaining-ms", 15000)) / 1e3
                try:
                    await asyncio.wait_for(reader.read(1), left)
                except asyncio.TimeoutError:
                    pass
                return False
            own = [("X-Request-Id", request), ("X-Response-Signature", self.name),
                   ("X-Server-Load", "%d,0,%d" % (self.running, self.slots))]
            if "x-token-usage" not in headers:
                await asyncio.sleep(self.work)
                writer.write(message("200 OK", ("done %s" % request).encode(), own))
                await writer.drain()
                return
            # The prompt is read before the answer begins.
            await asyncio.sleep(self.prefill)
            head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
            head += "".join("%s: %s\r\n" % pair for pair in own)
            writer.write(head.encode() + b"\r\n")
            for event in range(int(headers.get("last-event-id", 0)) + 1, self.events + 1):
                await asyncio.sleep(self.interval)
                data = self.event(request, event)
                writer.write(b"%x\r\n%s\r\n" % (len(data), data))
                await writer.drain()
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            self.whole.append(request)
        finally:
            self.running -= 1


def configuration(version=1, body_max=4194304, quota=None, submit_ms=(1000, 100), read_ms=(1000, 100)):
    def route(name, kind, service, attempts, timeout, aim, **more):
        return dict({"name": "r-" + name, "host": "ficu95.example", "path-prefix": "/%s/" % name,
                     "kind": kind, "timeout-ms": timeout, "target-latency-ms": aim, "priority": 1,
                     "service": service, "max-attempts": attempts, "public": False}, **more)
    tenant = {"name": "hule930", "api-keys": ["i9n73hh2b9wu3fexd9dn"], "priority": 1,
              "unit": "token_stream", "plain-tokens": 200, "rate-per-s": 0, "burst": 0}
    tenant.update(quota or {})
    return {
        "version": version,
        "routes": [
            route("census", "streaming", "pool", 2, 15000, 1200, sticky=True, resumable=True,
                  **{"gap-aim-ms": 400}),
            route("submit", "unsafe", "app", 1, *submit_ms),
            route("read", "safe", "app", 2, *read_ms),
        ],
        "services": [
            {"name": "pool", "health-path": "/health", "max-connections": 240, "protocol": "h1",
             "tls": False, "engine": {"slots": 32, "kv-capacity-tokens": 508079}},
            {"name": "app", "health-path": "/health", "max-connections": 110, "protocol": "h1",
             "tls": False},
        ],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": body_max,
                   "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
        "tenants": [tenant],
    }


class Daemon:
    """A process of the deploy file, on a loopback address of its own."""

    def __init__(self, record, folder, index, store, cloud, seeds, bootstrap=True, memory_mb=260, env=None):
        self.record, self.name = record, "front-kano-a-%d" % index
        self.ip = "127.%d.%d.%d" % (30 + os.getpid() % 200, os.getpid() // 200 % 250, index)
        self.folder, self.seeds, self.memory_mb = folder, seeds, memory_mb
        self.store, self.cloud, self.bootstrap = store, cloud, bootstrap
        self.process, self.ends = None, []

    def address(self, port):
        return "%s:%d" % (self.ip, port)

    async def start(self):
        if not os.path.exists(PROGRAM):
            raise CannotRun("the build of the deploy file is missing")
        settings = {
            "node-name": self.name, "role": "front", "machine-class": "front",
            "serves": ["front", "directory", "control"], "ip": self.ip, "zone": "kano-a",
            "region": "ng-north", "zones": {"kano-a": "ng-north"},
            "listen": {"front": self.address(8221), "ready": self.address(8224),
                       "control": self.address(8229), "directory": self.address(8220)},
            "internal-ports": [7600, 7615], "seed-nodes": [seed + ":8229" for seed in self.seeds],
            "bootstrap": self.bootstrap, "heartbeat-ms": 1200,
            "limits": {"cpu-share": 0.25, "core-speed": 1, "memory-mb": self.memory_mb,
                       "max-fds": 4100, "link-mbps": 1000.0, "disk-mb": 0},
            "bounds": {"contact-ms": 3000, "drain-ms": 2000, "grace-s": 8, "loss-slack-ms": 200,
                       "config-ms": 2000, "retry-budget-ratio": 0.2, "budget-window-s": 10,
                       "budget-slack": 56, "quota-window-s": 8, "quota-overage": 0.1,
                       "quota-slack": 140000, "require-fence": True, "lease-ms": 3000,
                       "usage-window-s": 5, "usage-off": 0.05, "usage-late-s": 10,
                       "recovery-s": 12, "ttl_max_s": 5},
            "platform": {"address": self.store, "form": "log", "writes-per-s": 400,
                         "reads-per-s": 2000, "parts": 32, "keep_s": 300},
            "cloud": {"address": self.cloud, "rate-per-s": 50.0,
                      "duties": ["usage_report", "scale"], "duty-per-s": 50.0},
        }
        path = os.path.join(self.folder, self.name + ".yaml")
        with open(path, "w") as file:
            json.dump(settings, file)
        self.log = open(os.path.join(self.folder, self.name + ".log"), "a")
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env["BRONZESPINDLE_NODE_FILE"] = path
        self.process = await asyncio.create_subprocess_exec(
            PROGRAM, "node", cwd=ROOT, env=env, stdin=asyncio.subprocess.DEVNULL,
            stdout=self.log, stderr=self.log)
        self.record.add("start %s" % self.name)

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self):
        if self.process and self.process.returncode is None:
            # A stopped process has to go on before it can end.
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            await self.process.wait()

    def memory(self):
        """The resident memory in MB."""
        try:
            with open("/proc/%d/status" % self.process.pid) as file:
                for line in file:
                    if line.startswith("VmRSS"):
                        return int(line.split()[1]) / 1024
        except (OSError, AttributeError):
            pass
        return 0.0

    async def ready(self):
        return (await get(self.ip, 8224, "/readiness"))[0] == 200

    async def wait_ready(self, daemons, seconds=20):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            status, body = await get(self.ip, 8220, "/resolve?name=ficu95.example&region=ng-north&zone=kano-a")
            if status == 200 and len(json.loads(body)["addresses"]) >= daemons:
                return
            await asyncio.sleep(0.1)
        raise CannotRun("%s is not ready" % self.name)


async def get(host, port, path, limit=1.0):
    try:
        return await asyncio.wait_for(_get(host, port, path), limit)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, TypeError, ValueError):
        return 0, b""


async def _get(host, port, path):
    reader, writer = await asyncio.open_connection(host, port)
    try:
        writer.write(("GET %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n" % (path, host)).encode())
        line, headers = await read_head(reader)
        return int(line.split()[1]), await read_body(reader, headers)
    finally:
        writer.close()


def request_bytes(method, path, request, deadline_ms, body=b"", more=()):
    head = "%s %s HTTP/1.1\r\nHost: ficu95.example\r\nX-Request-Id: %s\r\n" % (method, path, request)
    head += "X-Deadline-Remaining-Ms: %d\r\nApi-Key: i9n73hh2b9wu3fexd9dn\r\n" % deadline_ms
    head += "".join("%s: %s\r\n" % pair for pair in more)
    if method != "GET":
        head += "Content-Length: %d\r\n" % len(body)
    return head.encode() + b"\r\n" + body


async def call(host, port, data, limit):
    """Sends a request on a new connection. Returns status, headers and body; status 0 if the
    connection ended without a complete answer, -1 if it could not be made."""
    try:
        opening = asyncio.open_connection(host, port, limit=1 << 23)
        reader, writer = await asyncio.wait_for(opening, 1.0)
    except (OSError, asyncio.TimeoutError):
        return -1, {}, b""

    async def exchange():
        writer.write(data)
        await writer.drain()
        head = await read_head(reader)
        if head is None:
            return 0, {}, b""
        line, headers = head
        body = await read_body(reader, headers)
        return int(line.split()[1]), headers, body
    try:
        return await asyncio.wait_for(exchange(), limit)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0, {}, b""
    finally:
        writer.close()


class Proxy:
    """Passes bytes between one daemon and the store. Its open connections can be made silent for
    good: nothing passes on them any more, and nothing closes them. New ones work."""

    def __init__(self, target):
        host, port = target.rsplit(":", 1)
        self.target, self.links = (host, int(port)), []

    async def start(self):
        self.server = await asyncio.start_server(self.accept, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        return self

    async def accept(self, reader, writer):
        link = {"silent": False, "open": True}
        self.links.append(link)
        there_reader, there_writer = await asyncio.open_connection(*self.target)

        async def pump(source, sink):
            try:
                while True:
                    data = await source.read(1 << 16)
                    if link["silent"]:
                        # Keeps reading, so that the sender notices nothing.
                        if not data:
                            return
                        continue
                    if not data:
                        break
                    sink.write(data)
                    await sink.drain()
            except OSError:
                pass
            if not link["silent"]:
                sink.close()

        await asyncio.gather(pump(reader, there_writer), pump(there_reader, writer))
        link["open"] = False
        writer.close()
        there_writer.close()

    def open(self):
        return sum(link["open"] for link in self.links)

    def silence(self):
        for link in self.links:
            link["silent"] = True


class Directory:
    """A client's view of the daemons: asks for their addresses every two seconds."""

    def __init__(self, daemons):
        self.daemons, self.addresses = daemons, []

    async def start(self):
        await self.ask()
        self.asking = asyncio.create_task(self.run())
        return self

    async def run(self):
        while True:
            await asyncio.sleep(2)
            await self.ask()

    async def ask(self):
        for daemon in self.daemons:
            path = "/resolve?name=ficu95.example&region=ng-north&zone=kano-a"
            status, body = await get(daemon.ip, 8220, path)
            if status == 200:
                self.addresses = json.loads(body)["addresses"]
                return

    def pick(self):
        if not self.addresses:
            return None
        host, port = random.choice(self.addresses).rsplit(":", 1)
        return host, int(port)


class Kept:
    """A client that keeps its connection for many requests."""

    def __init__(self, directory):
        self.directory, self.link, self.served, self.last = directory, None, 0, None

    def close(self):
        if self.link:
            self.link[1].close()
        self.link, self.served = None, 0

    async def send(self, data, limit, on_head=None):
        """Returns the status, 0 for a connection that ended or a limit that passed without a
        complete answer; whether the connection was kept; and whether any answer had begun."""
        if self.link is None:
            address = self.directory.pick()
            if address is None:
                return -1, False, False
            self.last = address[0]
            try:
                opening = asyncio.open_connection(*address, limit=1 << 23)
                self.link = await asyncio.wait_for(opening, 1.0)
            except (OSError, asyncio.TimeoutError):
                return -1, False, False
        reader, writer = self.link
        kept, begun = self.served > 0, False
        try:
            async def exchange():
                nonlocal begun
                writer.write(data)
                await writer.drain()
                head = await read_head(reader)
                if head is None:
                    raise ConnectionError("closed")
                begun = True
                body = await read_body(reader, head[1])
                return int(head[0].split()[1]), head[1], body
            status, headers, _ = await asyncio.wait_for(exchange(), limit)
            self.served += 1
            if headers.get("connection", "").lower() == "close":
                self.close()
            return status, kept, begun
        except asyncio.TimeoutError:
            self.close()
            return -2, kept, begun
        except (OSError, asyncio.IncompleteReadError, ValueError):
            self.close()
            return 0, kept, begun


def run_case(main, folder):
    """Runs a case: exit status 1 if the rule was broken, 0 if it held, 2 if the case can't run."""
    record = Record(os.environ.get("RECORD_FOLDER", folder))

    async def whole():
        broken = await main(record)
        record.add("broken" if broken else "held")
        print("broken" if broken else "held", flush=True)
        # Ends without waiting for connections that are still open.
        os._exit(1 if broken else 0)

    try:
        asyncio.run(whole())
    except CannotRun as error:
        print("cannot run: %s" % error, flush=True)
        os._exit(2)


class StoreView(Server):
    """The store as one daemon reaches it: the same records, but runners stand at the addresses of
    this daemon's links to them."""

    def __init__(self, store, links):
        super().__init__()
        self.store, self.links = store, links

    async def handle(self, method, target, headers, body, reader, writer):
        query = parse_qs(urlsplit(target).query)
        if query.get("topic") != ["keyed.servers"] or method == "POST":
            return await self.store.handle(method, target, headers, body, reader, writer)
        return await self.store.handle(method, target, headers, body, reader, writer, self.rewrite)

    def rewrite(self, data):
        size = data[0]
        if len(data) == 1 + size:
            return data
        entry = json.loads(data[1 + size:])
        name = data[1:1 + size].decode()
        if name in self.links:
            entry["address"] = self.links[name].address
        return data[:1 + size] + json.dumps(entry).encode()


class Link:
    """A daemon's way to a runner. While it is cut, connections are refused, and open ones end."""

    def __init__(self, target):
        host, port = target.rsplit(":", 1)
        self.target, self.port, self.writers = (host, int(port)), 0, set()

    async def start(self):
        self.server = await asyncio.start_server(self.accept, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = "127.0.0.1:%d" % self.port
        return self

    async def accept(self, reader, writer):
        there_reader, there_writer = await asyncio.open_connection(*self.target)
        pair = {writer, there_writer}
        self.writers |= pair

        async def pump(source, sink):
            try:
                while data := await source.read(1 << 16):
                    sink.write(data)
                    await sink.drain()
            except OSError:
                pass
            for each in pair:
                each.close()

        await asyncio.gather(pump(reader, there_writer), pump(there_reader, writer))
        self.writers -= pair

    def cut(self):
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()
        self.writers.clear()

    async def heal(self):
        await self.start()
