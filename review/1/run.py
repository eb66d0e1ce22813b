"""Replaces two of three control machines, one after the other, and reads the
acknowledged configuration back."""
import asyncio
import json
import pathlib
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))
from stand import PROGRAM, TROUBLE, Directory, Fleet, Record, call  # noqa: E402

CATCHUP_S = 4.0    # catchupS of the site
SUCCESSOR_S = 1.0  # x of replace_core
READ_S = 40.0      # at least contactMs = 3 s
HOSTS = ["127.0.0.%d" % number for number in range(1, 6)]


def configuration(version):
    return {"version": version,
            "routes": [{"name": "r", "host": "a.example", "pathPrefix": "/r/",
                        "kind": "safe", "timeoutMs": 800, "goalMs": 150,
                        "priority": 1, "service": "s", "attempts": 2,
                        "public": False}],
            "services": [{"name": "s", "healthPath": "/health",
                          "maxConns": 130, "protocol": "h1", "tls": False}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
            "tenants": [{"name": "t", "apiKeys": ["key1"], "priority": 1,
                         "unit": "tokens", "plainTokens": 200,
                         "ratePerS": 58766, "burst": 58766}]}


async def publish(fleet, record, machines, version):
    """Sends a configuration until it is acknowledged."""
    body = json.dumps(configuration(version)).encode()
    end = time.monotonic() + 20
    while time.monotonic() < end:
        for machine in machines:
            status, _, got = await call(
                machine.host, fleet.ports["control"], "POST", "/-/Config.Put",
                [("Content-Type", "application/json")], body, 1.5)
            if status == 200:
                record.line("version %d acknowledged by %s" %
                            (version, machine.name))
                return True
        await asyncio.sleep(0.2)
    return False


async def read_back(fleet, record, machines, newest):
    """Reads for READ_S. Returns the highest version of the last half, or 0."""
    start = time.monotonic()
    best, last = 0, {}
    while time.monotonic() - start < READ_S:
        for machine in machines:
            status, _, body = await call(
                machine.host, fleet.ports["control"], "GET", "/-/Config.Get",
                limit=3.0)
            text = "%d %s" % (status, body[:90].decode("latin-1"))
            if last.get(machine.name) != text:
                last[machine.name] = text
                record.line("read at %s: %s" % (machine.name, text))
            if status == 200:
                version = json.loads(body)["version"]
                if version < newest:
                    record.line("older than acknowledged: %d" % version)
                elif time.monotonic() - start > READ_S / 2:
                    best = max(best, version)
        await asyncio.sleep(0.5)
    return best


async def replace(fleet, record, gone, successor):
    record.line("%s falls silent for good" % gone.name
                if TROUBLE else "%s stays" % gone.name)
    if TROUBLE:
        gone.signal(signal.SIGSTOP)
    await asyncio.sleep(SUCCESSOR_S)
    record.line("%s starts with an empty disk" % successor.name)
    successor.start()
    await asyncio.sleep(CATCHUP_S + 0.2)


async def main(record):
    if not PROGRAM.exists():
        return record.result("the gateway isn't built", 2)
    directory = Directory()
    await directory.start()
    fleet = Fleet(1, directory.address, HOSTS)
    try:
        machines = [fleet.add("m%d" % (i + 1), host)
                    for i, host in enumerate(HOSTS)]
        fleet.seeds = ["%s:%d" % (host, fleet.ports["control"])
                       for host in HOSTS[:3]]
        for machine in machines[:3]:
            machine.start(bootstrap=True)
        if not await publish(fleet, record, machines[:3], 1):
            return record.result("no acknowledgement at the start", 2)
        await asyncio.sleep(4)
        await replace(fleet, record, machines[2], machines[3])
        if not await publish(fleet, record, machines[:2], 2):
            return record.result("no acknowledgement after one loss", 2)
        await replace(fleet, record, machines[1], machines[4])
        left = [machines[0], machines[3], machines[4]]
        best = await read_back(fleet, record, left, 2)
        if best >= 2:
            return record.result("HELD: version %d was read back" % best, 0)
        return record.result(
            "BROKEN (CONFIG): version 2 was acknowledged, and for %d s no "
            "machine has given it back" % READ_S, 1)
    finally:
        fleet.close()


sys.exit(asyncio.run(main(Record(HERE))))
