"""Stand-ins and process control for the scripts of the review.

Python's standard library only. All addresses are loopback ones.
"""
import asyncio
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
PROGRAM = ROOT / "target" / "citronwharf_gateway"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def free_ports(count, hosts=("127.0.0.1",)):
    """Returns ports that are free on all of these hosts now. They lie below
    those that the system gives to outgoing connections, so that a server that
    is down for a while finds its port free."""
    out = []
    while len(out) < count:
        port = random.randrange(12000, 32000)
        if port in out:
            continue
        try:
            for host in hosts:
                with socket.socket() as probe:
                    probe.bind((host, port))
        except OSError:
            continue
        out.append(port)
    return out


class Record:
    """Lines for record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w")
        self.start = time.monotonic()

    def line(self, text):
        line = "%8.3f  %s" % (time.monotonic() - self.start, text)
        print(line, file=self.file, flush=True)

    def result(self, text, code):
        self.line(text)
        print(text, flush=True)
        return code


class Machine:
    """A machine of the platform: settings, data folder and one process."""

    def __init__(self, fleet, name, host, disk):
        self.fleet, self.name, self.host = fleet, name, host
        self.zone = "z"
        self.folder = fleet.folder / name
        self.folder.mkdir()
        self.data = self.folder / "data" if disk else None
        self.process = None

    def address(self, kind):
        return "%s:%d" % (self.host, self.fleet.ports[kind])

    def settings(self, bootstrap):
        fleet = self.fleet
        out = {
            "process": self.name,
            "deployment": "citronwharf",
            "region": "r",
            "failure_domain": self.zone,
            "roles": ["gateway"],
            "secret": "this platform hands out no secret: its internal "
                      "network is trusted",
            "listen": {"callers": self.address("front"),
                       "peers": self.address("peers"),
                       "admin": self.address("admin")},
            "control": {"snapshot_entries": 64, "keep_entries": 16},
            "gateway": {"readiness": self.address("ready"),
                        "operators": self.address("control"),
                        "directory": fleet.directory,
                        "seeds": fleet.seeds,
                        "first_start": bootstrap,
                        "tolerated_losses": fleet.tolerated,
                        "retry_ratio": 0.2, "retry_slack": 62,
                        "retry_window_s": 10},
            "limits": {"max_connections": 3000, "max_body_bytes": 4194304,
                       "idle_timeout_ms": 60000, "drain_timeout_ms": 7500},
        }
        if self.data:
            out["data_folder"] = str(self.data)
        return out

    def start(self, bootstrap=False):
        path = self.folder / "node.json"
        path.write_text(json.dumps(self.settings(bootstrap)))
        log = open(self.folder / "log", "ab")
        self.process = subprocess.Popen(
            [str(self.fleet.program), "--settings", str(path)], stdout=log,
            stderr=subprocess.STDOUT, stdin=subprocess.DEVNULL)
        self.fleet.started.append(self.process)

    def signal(self, number):
        self.process.send_signal(number)

    def kill(self):
        self.process.kill()
        self.process.wait()

    def lose_disk(self):
        shutil.rmtree(self.data, ignore_errors=True)


class Fleet:
    """Machines with the same ports on addresses 127.0.0.N."""

    def __init__(self, tolerated, directory, hosts, program=PROGRAM):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.tolerated, self.directory, self.program = (
            tolerated, directory, program)
        kinds = ["front", "ready", "control", "peers", "admin"]
        self.ports = dict(zip(kinds, free_ports(len(kinds), hosts)))
        self.seeds, self.started, self.machines = [], [], {}

    def add(self, name, host, disk=True):
        self.machines[name] = Machine(self, name, host, disk)
        return self.machines[name]

    def close(self):
        for process in self.started:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


async def read_head(reader):
    """Returns the start line and the headers in lower case, or None."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers, request):
    """Returns the body; raises IncompleteReadError if it is cut off."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        out = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                return out
            out += data[:-2]
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return b"" if request else await reader.read()


async def call(host, port, method, target, headers=(), body=b"", limit=5.0):
    """Returns (status, headers, body), or (0, {}, error) without an answer."""
    async def run():
        reader, writer = await asyncio.open_connection(host, port)
        try:
            text = "%s %s HTTP/1.1\r\n" % (method, target)
            names = [name.lower() for name, _ in headers]
            if "host" not in names:
                text += "Host: %s:%d\r\n" % (host, port)
            for name, value in headers:
                text += "%s: %s\r\n" % (name, value)
            if body or method != "GET":
                text += "Content-Length: %d\r\n" % len(body)
            writer.write(text.encode("latin-1") + b"\r\n" + body)
            start, got = await read_head(reader)
            return (int(start.split()[1]), got,
                    await read_body(reader, got, False))
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(run(), limit)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError,
            ValueError) as error:
        return 0, {}, repr(error).encode()


class Server:
    """A server of the platform on 127.0.0.1. `answer` handles a request:
    a coroutine of (start line, headers, body, reader, writer) that returns
    whether the channel stays open."""

    def __init__(self, answer, host="127.0.0.1"):
        self.answer, self.host, self.port, self.server = answer, host, 0, None

    async def start(self, port=0):
        port = port or free_ports(1, (self.host,))[0]
        self.server = await asyncio.start_server(self.serve, self.host, port)
        self.port = self.server.sockets[0].getsockname()[1]

    @property
    def address(self):
        return "%s:%d" % (self.host, self.port)

    async def serve(self, reader, writer):
        try:
            while True:
                start, headers = await read_head(reader)
                body = await read_body(reader, headers, True)
                if not await self.answer(start, headers, body, reader,
                                         writer):
                    break
        except (OSError, asyncio.IncompleteReadError, ValueError,
                asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()


def response(status, body=b"", headers=()):
    text = "HTTP/1.1 %d X\r\n" % status
    for name, value in headers:
        text += "%s: %s\r\n" % (name, value)
    return text.encode() + b"Content-Length: %d\r\n\r\n" % len(body) + body


class Directory(Server):
    """The platform's list of servers."""

    def __init__(self):
        super().__init__(self.list)
        self.instances = []

    async def list(self, start, headers, body, reader, writer):
        text = json.dumps({"instances": self.instances, "next": None})
        writer.write(response(200, text.encode(),
                              [("Content-Type", "application/json")]))
        return True
