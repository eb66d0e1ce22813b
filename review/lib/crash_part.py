"""A fleet under requests with a part that crashes the servers that begin to
answer it, beside sound requests of the same key and first part."""
import asyncio
import json
import time

from stand import (PROGRAM, TROUBLE, Directory, Fleet, call, read_body,
                   read_head)
from engine import Engine

CONTACT_S = 3.0  # contactMs of the site
DOWN_S = 3.0     # "the server is back after some seconds"
HOSTS = ["127.0.0.%d" % number for number in range(1, 4)]
BAD = "bad0bad0"
CALM_S = 30
TROUBLE_S = 45
SOUND_PER_S = 3
BAD_EACH = 3  # one bad request for each so many sound ones
TOKENS = 60000000



class Plan:
    def __init__(self, attempts, resumable, first_before, first_after,
                 sound_delay_s, decode, middle=0, batch=0, batch_every_s=0):
        # Bad requests that come at once; 0: one each BAD_EACH sound ones.
        self.batch, self.batch_every_s = batch, batch_every_s
        self.middle = middle  # further parts, before the one that may be bad
        self.attempts, self.resumable = attempts, resumable
        self.decode = decode  # servers of this stage, beside two of the other
        self.first_before, self.first_after = first_before, first_after
        self.sound_delay_s = sound_delay_s


def configuration(plan):
    return {
    "version": 1,
    "routes": [{"name": "summary", "host": "a.example",
                "pathPrefix": "/summary/", "kind": "stream",
                "timeoutMs": 14000, "goalMs": 900, "priority": 1,
                "service": "models", "attempts": plan.attempts,
                "public": False,
                "sticky": True, "resumable": plan.resumable, "gapTargetMs": 300}],
    "services": [{"name": "models", "healthPath": "/health", "maxConns": 640,
                  "protocol": "h1", "tls": False,
                  "engine": {"slots": 128, "kvTokens": 53213,
                             "kvBytes": 18432, "netMbps": 350000.0,
                             "moves": False, "backups": False, "stride": 11,
                             "most": 12, "handleS": 0.5, "switchS": 6.0,
                             "pinMs": 4000.0, "holdMs": 2000.0,
                             "models": [{"name": "m"}]}}],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
               "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
    "tenants": [{"name": "member", "apiKeys": ["key1"], "priority": 1,
                 "unit": "tokens", "plainTokens": 200, "ratePerS": TOKENS,
                 "burst": TOKENS}]}


class Callers:
    def __init__(self, fleet, record, middle):
        self.fleet, self.record = fleet, record
        self.middle = "".join("%08x:10," % (0xc000 + i)
                              for i in range(middle))
        self.number, self.tasks, self.results = 0, [], []

    def send(self, kind, first, second):
        self.number += 1
        number = self.number
        host = HOSTS[number % len(HOSTS)]
        self.tasks.append(asyncio.ensure_future(
            self.answer(kind, first, second, number, host)))

    async def answer(self, kind, first, second, number, host):
        sent = time.monotonic()
        name = "%s%d" % (kind, number)
        prompt = "%s:200,%s%s:300,%08x:200" % (first, self.middle, second,
                                               number)
        status, events, whole = await generate(
            host, self.fleet.ports["front"], "/summary/%d" % number,
            [("Host", "a.example"), ("Authorization", "Token key1"),
             ("Citronwharf-Request-Id", name),
             ("Citronwharf-Deadline-Ms", "14000"),
             ("Citronwharf-Model", "m"), ("Citronwharf-Token-Count", "700,88"),
             ("Citronwharf-Prefix-Hash", prompt)], b"sheet %d" % number)
        begun = status == 200 and events > 0
        self.record.line("%s (%s) at %s: %d, %d events%s" % (
            name, prompt, host, status, events, "" if whole else ", cut off"))
        self.results.append((kind, sent, begun, whole, status))


async def generate(host, port, target, headers, body, limit=14.5):
    """Returns the status, the number of events and whether all of it came."""
    status, events = 0, 0
    end = time.monotonic() + limit
    try:
        reader, writer = await asyncio.open_connection(host, port)
    except OSError:
        return 0, 0, False
    try:
        text = "POST %s HTTP/1.1\r\n" % target
        for name, value in headers:
            text += "%s: %s\r\n" % (name, value)
        text += "Content-Length: %d\r\n\r\n" % len(body)
        writer.write(text.encode() + body)
        start, got = await asyncio.wait_for(read_head(reader), limit)
        status = int(start.split()[1])
        if "content-length" in got:
            await read_body(reader, got, False)
            return status, 0, True
        while True:
            line = await asyncio.wait_for(reader.readuntil(b"\r\n"),
                                          max(0.01, end - time.monotonic()))
            size = int(line, 16)
            data = await reader.readexactly(size + 2)
            events += data.count(b"id: ")
            if size == 0:
                return status, events, True
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError,
            ValueError):
        return status, events, False
    finally:
        writer.close()


async def start(fleet, record, plan):
    machines = [fleet.add("m%d" % (i + 1), host)
                for i, host in enumerate(HOSTS)]
    fleet.seeds = ["%s:%d" % (host, fleet.ports["control"]) for host in HOSTS]
    for machine in machines:
        machine.start(bootstrap=True)
    body = json.dumps(configuration(plan)).encode()
    end = time.monotonic() + 20
    while time.monotonic() < end:
        status, _, _ = await call(HOSTS[0], fleet.ports["control"], "POST",
                                  "/-/Config.Put", [], body, 1.5)
        ready = [await call(host, fleet.ports["ready"], "GET", "/-/ready",
                            limit=1.0) for host in HOSTS]
        if status == 200 and all(each[0] == 200 for each in ready):
            record.line("the configuration is acknowledged, all are ready")
            return True
        await asyncio.sleep(0.2)
    return False


def share(results, kind, begin, end):
    found = [begun for at_kind, sent, begun, _, status in results
             if at_kind == kind and begin <= sent < end and status != 429]
    return len(found), sum(found) / max(1, len(found))


async def run(record, plan):
    if not PROGRAM.exists():
        return record.result("the gateway isn't built", 2)
    directory = Directory()
    await directory.start()
    engines = [Engine("e%d" % i, "prefill" if i < 2 else "decode", record,
                      {BAD} if TROUBLE else set(), DOWN_S)
               for i in range(2 + plan.decode)]
    for engine in engines:
        await engine.start()
    directory.instances = [each.listed("models") for each in engines]
    fleet = Fleet(1, directory.address, HOSTS)
    try:
        if not await start(fleet, record, plan):
            return record.result("the fleet didn't start", 2)
        await asyncio.sleep(2)
        callers = Callers(fleet, record, plan.middle)
        calm, batches = time.monotonic(), 0
        for step in range((CALM_S + TROUBLE_S) * SOUND_PER_S):
            in_trouble = step >= CALM_S * SOUND_PER_S
            if step == CALM_S * SOUND_PER_S:
                trouble = time.monotonic()
                record.line("requests with the bad part begin")
            since = time.monotonic() - trouble if in_trouble else 0
            sound = not in_trouble or since >= plan.sound_delay_s
            first = plan.first_after if in_trouble else plan.first_before
            if plan.batch and in_trouble and since >= batches * (
                    plan.batch_every_s):
                batches += 1
                for _ in range(plan.batch):
                    callers.send("bad", first, BAD)
            elif not plan.batch and in_trouble and (
                    step % BAD_EACH == 0 or not sound):
                callers.send("bad", first, BAD)
            if sound:
                callers.send("sound", first, "%08x" % (0x1000 + step))
            await asyncio.sleep(1 / SOUND_PER_S)
        end = time.monotonic()
        await asyncio.wait(callers.tasks, timeout=15)
        crashes = sorted(at for each in engines for at in each.crashes)
        fifth = (crashes + [trouble])[min(4, max(0, len(crashes) - 1))]
        reached = {name for each in engines for at, name in each.runs
                   if name.startswith("bad") and at > fifth + CONTACT_S}
        record.line("%d crashes; %d bad requests reached servers later than "
                    "contactMs after the fifth" % (len(crashes), len(reached)))
        before = share(callers.results, "sound", calm, trouble)
        after = share(callers.results, "sound", fifth + 2 * CONTACT_S, end)
        text = ("sound requests that began: %d%% of %d before, %d%% of %d "
                "later than 2 x contactMs after the fifth crash" %
                (100 * before[1], before[0], 100 * after[1], after[0]))
        if before[0] < 20 or after[0] < 20 or before[1] < 0.9:
            return record.result("not enough requests: " + text, 2)
        broken = []
        if after[1] < before[1] / 2:
            broken.append("LOST")
        if TROUBLE and len(reached) > 3:
            broken.append("BUDGET")
        failed = sum(1 for kind, sent, _, whole, status in callers.results
                     if kind == "sound" and sent >= trouble and
                     status not in (429, 503) and
                     (status != 200 or not whole))
        text += ("; bad requests that reached servers later than contactMs "
                 "after it: %d; sound ones that failed for good: %d" % (
                     len(reached) if TROUBLE else 0, failed))
        if broken:
            return record.result("BROKEN (%s): %s" %
                                 (", ".join(broken), text), 1)
        return record.result("HELD: " + text, 0)
    finally:
        fleet.close()
