"""Stand-ins for the review's scripts: platform, operator, servers, clients.

Everything listens on loopback addresses and takes free ports. The stand-ins
follow PROTOCOL.md; a script changes the behaviour of a server by its hooks.
"""
import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import uuid

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = os.path.join(ROOT, "target", "citronwharf_gateway")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2


def render(template, fields):
    """Fills in a settings template by the rules of DEPLOY.md."""

    def value(path, scope):
        for each in reversed(scope):
            at = each
            for part in path.split("."):
                if isinstance(at, dict) and part in at:
                    at = at[part]
                elif isinstance(at, list) and part.isdigit():
                    at = at[int(part)] if int(part) < len(at) else None
                else:
                    at = None
                    break
            if at is not None:
                return at
        return None

    def fill(text, scope):
        section = re.compile(r"{{#([^{}]+)}}(.*?){{/\1}}", re.S)

        def expand(match):
            found = value(match.group(1), scope)
            if found is None or found is False:
                return ""
            inner = {".": found}
            body = match.group(2).replace("{{.|json}}", json.dumps(found))
            body = body.replace("{{.}}", str(found))
            return fill(body, scope + [inner])

        text = section.sub(expand, text)

        def place(match):
            name, _, as_json = match.group(1).partition("|")
            found = value(name, scope)
            if as_json:
                return json.dumps(found)
            if isinstance(found, bool):
                return "true" if found else "false"
            return "" if found is None else str(found)

        return re.sub(r"{{([^{}#/^]+)}}", place, text)

    return fill(template, [fields])


# Below the ports that outgoing connections take.
FIRST_PORT, LAST_PORT = 20000, 32000


def ports_free_on(hosts, count):
    """Returns the first of `count` consecutive ports that are free on all
    hosts."""
    for _ in range(200):
        base = random.randrange(FIRST_PORT, LAST_PORT - count)
        probes = []
        try:
            for host in hosts:
                for port in range(base, base + count):
                    probe = socket.socket()
                    probes.append(probe)
                    probe.bind((host, port))
            return base
        except OSError:
            continue
        finally:
            for probe in probes:
                probe.close()
    raise RuntimeError("no free ports")


# HTTP


class Message:
    def __init__(self, start, headers, body):
        self.start, self.headers, self.body = start, headers, body

    def get(self, name, default=None):
        for key, text in self.headers:
            if key.lower() == name.lower():
                return text
        return default


async def read_message(reader, is_answer=False, on_body=None):
    """Reads a request or an answer; None if the channel ended before it."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        if ":" in line:
            key, _, text = line.partition(":")
            headers.append((key.strip(), text.strip()))
    message = Message(lines[0], headers, b"")
    message.complete = True
    parts = []

    def add(part):
        parts.append(part)
        if on_body:
            on_body(part)

    try:
        length = message.get("Content-Length")
        if (message.get("Transfer-Encoding") or "").lower() == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                if size == 0:
                    while (await reader.readuntil(b"\r\n")) != b"\r\n":
                        pass
                    break
                add(await reader.readexactly(size))
                await reader.readexactly(2)
        elif length is not None:
            add(await reader.readexactly(int(length)))
        elif is_answer and not lines[0].split(" ")[1].startswith("1"):
            while True:
                part = await reader.read(65536)
                if not part:
                    break
                add(part)
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        message.complete = False
    message.body = b"".join(parts)
    return message


def answer_bytes(status, headers=(), body=b"", reason="OK"):
    out = [f"HTTP/1.1 {status} {reason}"]
    out += [f"{key}: {text}" for key, text in headers]
    out.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(out) + "\r\n\r\n").encode() + body


class Answer:
    """What a client saw of one request."""

    def __init__(self):
        self.status = None
        self.headers = []
        self.body = b""
        self.whole = False
        self.error = ""
        self.ms = 0

    def get(self, name):
        for key, text in self.headers:
            if key.lower() == name.lower():
                return text
        return None


async def call(host, port, method, path, headers, body=b"", timeout=10.0):
    """Sends one request on a new channel and returns its Answer."""
    out = Answer()
    began = time.monotonic()
    writer = None
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(host, port), 1.0)
        head = [f"{method} {path} HTTP/1.1"]
        head += [f"{key}: {text}" for key, text in headers]
        if body or method not in ("GET", "HEAD"):
            head.append(f"Content-Length: {len(body)}")
        writer.write(("\r\n".join(head) + "\r\n\r\n").encode() + body)
        message = await asyncio.wait_for(read_message(reader, True), timeout)
        if message is None:
            out.error = "channel closed without an answer"
        else:
            out.status = int(message.start.split(" ")[1])
            out.headers = message.headers
            out.body = message.body
            out.whole = message.complete
    except asyncio.TimeoutError:
        out.error = "no answer in time"
    except (OSError, ValueError) as error:
        out.error = f"{type(error).__name__}: {error}"
    finally:
        if writer is not None:
            writer.close()
    out.ms = int((time.monotonic() - began) * 1000)
    return out


class HttpServer:
    """Serves one request at a time on a channel."""

    def __init__(self, host):
        self.host = host
        self.port = None
        self.server = None
        self.writers = set()

    async def start(self, port=None):
        self.server = await asyncio.start_server(
            self._serve, self.host,
            port or self.port or ports_free_on([self.host], 1))
        self.port = self.server.sockets[0].getsockname()[1]

    @property
    def address(self):
        return f"{self.host}:{self.port}"

    async def stop(self):
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                if request is None or not request.complete:
                    break
                if not await self.handle(request, reader, writer):
                    break
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            try:
                writer.close()
            except RuntimeError:
                pass

    async def handle(self, request, reader, writer):
        raise NotImplementedError


class Platform(HttpServer):
    """The list of servers."""

    def __init__(self, host):
        super().__init__(host)
        self.servers = []

    async def handle(self, request, reader, writer):
        instances = [each.entry() for each in self.servers if each.listed]
        body = json.dumps({"instances": instances, "next": None}).encode()
        writer.write(answer_bytes(
            200, [("Content-Type", "application/json")], body))
        return True


class Server(HttpServer):
    """A sound server of a service; `stage` makes it a model server."""

    def __init__(self, host, service, record, stage=None, slots=6, zone="a",
                 work_s=0.02, events=6, gap_s=0.03, version="v1"):
        super().__init__(host)
        self.service, self.record, self.stage = service, record, stage
        self.slots, self.zone, self.work_s = slots, zone, work_s
        self.events, self.gap_s, self.version = events, gap_s, version
        self.id = "i-" + uuid.uuid4().hex[:8]
        self.listed, self.draining = True, False
        self.running, self.seq = 0, 0
        self.handles, self.holds = set(), set()
        self.arrivals = []  # requests that arrived, as dicts
        self.runs = []      # requests that ran
        self.born = int(time.time() * 1000)  # start of its lifetime
        self.on_request = None  # async (self, request, writer) -> None | bool
        self.on_aux = None      # async (self, request, writer) -> None | bool

    def entry(self):
        out = {"id": self.id, "service": self.service, "addr": self.address,
               "zone": self.zone, "version": self.version,
               "slots": self.slots,
               "state": "draining" if self.draining else "ready",
               "coldLeftMs": 0, "born": self.born}
        if self.stage:
            out["stage"] = self.stage
            out["models"] = [{"name": "m", "version": 1, "adapters": []}]
        return out

    def common_headers(self, request):
        out = [("Citronwharf-Load", f"{self.running},0,{self.slots}")]
        if request.get("Citronwharf-Request-Id"):
            out.append(("Citronwharf-Request-Id",
                        request.get("Citronwharf-Request-Id")))
        return out

    def stamp(self, request):
        return [("Citronwharf-Server-Stamp", f"{self.id}.{uuid.uuid4().hex[:8]}")]

    async def handle(self, request, reader, writer):
        method, path, _ = request.start.split(" ")
        if path.startswith("/-/") or path == "/health":
            if self.on_aux:
                done = await self.on_aux(self, request, writer)
                if done is not None:
                    return done
            return await self.auxiliary(method, path, request, writer)
        note = {"at": time.monotonic(), "id": request.get("Citronwharf-Request-Id"),
                "tenant": request.get("Citronwharf-Tenant"),
                "path": path, "stage": request.get("Citronwharf-Stage"),
                "server": self.id}
        self.arrivals.append(note)
        wanted = request.get("Citronwharf-Expect-Instance")
        if wanted and wanted != self.id:
            writer.write(answer_bytes(421, self.common_headers(request), b"",
                                      "Misdirected"))
            return True
        if self.on_request:
            done = await self.on_request(self, request, writer)
            if done is not None:
                return done
        if request.get("Citronwharf-Stage") == "prefill":
            return await self.prefill(request, writer)
        if self.stage == "prefill":
            writer.write(answer_bytes(421, self.common_headers(request), b"",
                                      "Wrong stage"))
            return True
        self.runs.append(note)
        if self.stage:
            return await self.stream(request, writer)
        return await self.plain(request, writer)

    async def plain(self, request, writer):
        self.running += 1
        await asyncio.sleep(self.work_s)
        self.running -= 1
        body = (b"answer to " +
                (request.get("Citronwharf-Request-Id") or "").encode() + b"\n")
        writer.write(answer_bytes(
            200, self.common_headers(request) + self.stamp(request), body))
        return True

    async def stream(self, request, writer):
        self.running += 1
        try:
            head = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream",
                    "Transfer-Encoding: chunked",
                    "Citronwharf-Weight-Versions: 1"]
            head += [f"{key}: {text}" for key, text in
                     self.common_headers(request) + self.stamp(request)]
            writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
            first = int(request.get("Last-Event-Id") or 0) + 1
            for number in range(first, self.events + 1):
                await asyncio.sleep(self.gap_s)
                event = f"id: {number}\ndata: piece {number}\n\n".encode()
                writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
                await writer.drain()
            writer.write(b"0\r\n\r\n")
        finally:
            self.running -= 1
        return True

    async def prefill(self, request, writer):
        await asyncio.sleep(self.work_s)
        handle = uuid.uuid4().hex[:12]
        self.handles.add(handle)
        tokens = int((request.get("Citronwharf-Token-Count") or "0,0").split(",")[0])
        body = json.dumps({"handle": handle, "tokens": tokens,
                           "version": 1}).encode()
        writer.write(answer_bytes(
            200, self.common_headers(request) +
            [("Content-Type", "application/json")], body))
        return True

    async def auxiliary(self, method, path, request, writer):
        status, out = 200, {}
        if path == "/-/hold-take":
            hold = uuid.uuid4().hex[:10]
            self.holds.add(hold)
            out = {"hold": hold}
        elif path == "/-/report":
            out = {"stage": self.stage, "busy": False, "seq": self.seq,
                   "models": [{"name": "m", "version": 1, "adapters": []}],
                   "waiting": 0, "running": self.running, "kvUsed": 0,
                   "kvTotal": 50000, "handles": len(self.handles),
                   "born": self.born}
        elif path == "/-/order":
            status = 409  # another order is in progress
        body = json.dumps(out).encode()
        headers = self.common_headers(request) + [
            ("Content-Type", "application/json")]
        if path == "/health":
            headers.append(("Citronwharf-Instance-Id", self.id))
        writer.write(answer_bytes(status, headers, body))
        return True


class Record:
    """record.txt of a case."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()

    def __call__(self, text):
        line = f"{time.monotonic() - self.began:8.3f} s  {text}"
        self.file.write(line + "\n")
        self.file.flush()

    def verdict(self, code, text):
        word = {HELD: "held", BROKEN: "BROKEN", NOT_RUN: "could not run"}[code]
        self(f"verdict: {word}: {text}")
        print(f"{word}: {text}")
        return code


class Deployment:
    """Gateways as separate processes, started as the deploy file says."""

    def __init__(self, record, machines=1, disks=1, tolerated=0, bounds=None,
                 limits=None):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="citronwharf-review-")
        self.hosts = [f"127.0.0.{11 + each}" for each in range(machines)]
        self.disks, self.tolerated = disks, tolerated
        self.base = ports_free_on(self.hosts, 8)
        self.processes = [None] * machines
        self.platform = Platform("127.0.0.1")
        self.bounds = {"retryRatio": 0.2, "retrySlack": 62, "retryWindowS": 10,
                       "catchupS": 4}
        self.bounds.update(bounds or {})
        self.limits = limits or {"maxFds": 4100, "memoryLimitMb": 110}
        self.first = [True] * machines
        with open(os.path.join(ROOT, "deploy", "settings.json.in"),
                  encoding="utf-8") as file:
            self.template = file.read()

    def front(self, at):
        return self.hosts[at], self.base

    def ready(self, at):
        return self.hosts[at], self.base + 1

    def control(self, at):
        return self.hosts[at], self.base + 2

    def settings(self, at):
        host = self.hosts[at]
        fields = {
            "node": f"front-{at + 1}", "region": "r", "zone": "abc"[at % 3],
            "ip": host, "internalPorts": [self.base + 3, self.base + 7],
            "listen": {"front": f"{host}:{self.base}",
                       "ready": f"{host}:{self.base + 1}",
                       "control": f"{host}:{self.base + 2}"},
            "seeds": [f"{each}:{self.base + 2}"
                      for each in self.hosts[:min(3, self.disks)]],
            "bootstrap": self.first[at],
            "tolerate": {"machines": self.tolerated},
            "cloud": {"addr": self.platform.address},
            "bounds": self.bounds, "limits": self.limits,
        }
        if at < self.disks:
            fields["dataDir"] = os.path.join(self.folder, f"data-{at + 1}")
        return render(self.template, fields)

    def start(self, at):
        path = os.path.join(self.folder, f"node-{at + 1}.json")
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.settings(at))
        self.first[at] = False
        log = open(os.path.join(self.folder, f"log-{at + 1}.txt"), "ab")
        self.processes[at] = subprocess.Popen(
            [PROGRAM, "--settings", path], cwd=ROOT, stdout=log,
            stderr=subprocess.STDOUT, stdin=subprocess.DEVNULL)
        log.close()
        self.record(f"machine {at + 1} starts")

    def signal(self, at, number):
        self.record(f"machine {at + 1} gets {signal.Signals(number).name}")
        self.processes[at].send_signal(number)

    def alive(self, at):
        return self.processes[at].poll() is None

    async def wait_ready(self, at, limit_s=20.0):
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            answer = await call(*self.ready(at), "GET", "/-/ready",
                                [("Host", "x")], timeout=1.0)
            if answer.status == 200:
                return True
            await asyncio.sleep(0.1)
        return False

    async def put(self, document, limit_s=20.0):
        """Sends a desired state until it has a clear answer."""
        until = time.monotonic() + limit_s
        body = json.dumps(document).encode()
        at = 0
        while time.monotonic() < until:
            answer = await call(*self.control(at % len(self.hosts)), "POST",
                                "/-/Config.Put",
                                [("Host", "x"),
                                 ("Content-Type", "application/json")],
                                body, timeout=1.5)
            if answer.status in (200, 400, 409, 412, 413, 422):
                self.record(f"desired state {document['version']} sent: "
                            f"{answer.status}")
                return answer.status
            at += 1
            await asyncio.sleep(0.15)
        self.record(f"desired state {document['version']}: no clear answer")
        return None

    async def close(self):
        for process in self.processes:
            if process is not None and process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            if process is not None:
                process.wait()
        await self.platform.stop()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


ENGINE = {"slots": 128, "kvTokens": 53213, "kvBytes": 18432,
          "netMbps": 350000.0, "moves": True, "backups": True, "stride": 11,
          "most": 12, "handleS": 0.5, "switchS": 6.0, "pinMs": 4000.0,
          "holdMs": 2000.0, "models": [{"name": "m"}]}
LIMITS = {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
          "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
HOST = "ficu95.example"


def service(name, engine=None):
    out = {"name": name, "healthPath": "/health", "maxConns": 640,
           "protocol": "h1", "tls": False}
    if engine:
        out["engine"] = engine
    return out


def route(name, prefix, kind, to, attempts=1, resumable=False,
          timeout_ms=None, goal_ms=None):
    stream = kind == "stream"
    return {"name": name, "host": HOST, "pathPrefix": prefix, "kind": kind,
            "timeoutMs": timeout_ms or (14000 if stream else 800),
            "goalMs": goal_ms or (900 if stream else 150),
            "priority": 1 if stream else 2, "service": to,
            "attempts": attempts, "public": False, "sticky": stream,
            "resumable": resumable, "gapTargetMs": 300}


def tenant(name, keys):
    return {"name": name, "apiKeys": keys, "priority": 1, "unit": "tokens",
            "plainTokens": 200, "ratePerS": 1e6, "burst": 1e6}


def document(version, routes, services, tenants):
    return {"version": version, "routes": routes, "services": services,
            "limits": LIMITS, "tenants": tenants}


def request_headers(request_id, key, stream=False, deadline_ms=None):
    out = [("Host", HOST), ("Citronwharf-Request-Id", request_id),
           ("Citronwharf-Deadline-Ms",
            str(deadline_ms or (14000 if stream else 1500))),
           ("Authorization", f"Token {key}")]
    if stream:
        out += [("Citronwharf-Model", "m"),
                ("Citronwharf-Token-Count", "1460,80"),
                ("Citronwharf-Prefix-Hash",
                 f"5c1e07a2:200,{request_id[:8]}:1260")]
    return out


def new_id():
    return uuid.uuid4().hex[:16]


def run_case(main, folder):
    """Runs `main(record)` and exits with its verdict. Whatever goes wrong in
    the script itself, and SIGTERM, is "could not run"; the processes that it
    started are ended first, by the script."""
    record = Record(os.path.join(folder, "record.txt"))
    if not os.access(PROGRAM, os.X_OK):
        sys.exit(record.verdict(NOT_RUN, "the program is not built"))

    async def guarded():
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, asyncio.current_task().cancel)
        return await asyncio.wait_for(main(record), 105)

    try:
        code = asyncio.run(guarded())
    except asyncio.TimeoutError:
        code = record.verdict(NOT_RUN, "the script took too long")
    except asyncio.CancelledError:
        code = record.verdict(NOT_RUN, "the script was stopped")
    except Exception as error:  # a fault of the script is no broken rule
        code = record.verdict(NOT_RUN, f"{type(error).__name__}: {error}")
    sys.exit(code)
