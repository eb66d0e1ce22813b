"""Stand-in for a model server: prefill, decode, memory holds, reports, and
the end of the whole server when an answer on a bad part begins."""
import asyncio
import json
import random
import time

from stand import Server, response

EVENTS = 8
EVENT_S = 0.09
SWITCH_S = 6.0  # switchS
FIRST_EVENT_S = 0.05


def parts(headers):
    """Returns the ids of the parts of the prompt, in order."""
    text = headers.get("citronwharf-prefix-hash", "")
    return [entry.split(":")[0] for entry in text.split(",") if entry]


class Engine(Server):
    def __init__(self, name, stage, record, bad_parts, down_s):
        super().__init__(self.handle)
        self.name, self.stage, self.record = name, stage, record
        self.bad_parts, self.down_s = bad_parts, down_s
        self.writers, self.crashes, self.orders = set(), [], 0
        self.down = False
        self.runs = []  # (time, request id)
        self.born, self.busy, self.entry = int(time.time() * 1000), False, {}

    def listed(self, service):
        self.entry.update(
            {"id": self.name, "service": service, "addr": self.address,
             "zone": "z", "version": "v1", "slots": 128, "state": "ready",
             "coldLeftMs": 0, "stage": self.stage, "born": self.born,
             "models": [{"name": "m", "version": 1, "adapters": []}]})
        return self.entry

    async def serve(self, reader, writer):
        if self.down:
            writer.transport.abort()
            return
        self.writers.add(writer)
        try:
            await super().serve(reader, writer)
        finally:
            self.writers.discard(writer)

    async def crash(self, why):
        if self.down:
            return
        self.down = True
        self.crashes.append(time.monotonic())
        self.record.line("%s crashes on %s" % (self.name, why))
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        asyncio.get_running_loop().create_task(self.restart())

    async def restart(self):
        await asyncio.sleep(self.down_s)
        self.born, self.orders, self.busy = int(time.time() * 1000), 0, False
        self.entry.update({"born": self.born})
        await self.start(self.port)
        self.down = False
        self.record.line("%s is back" % self.name)

    async def handle(self, start, headers, body, reader, writer):
        method, path, _ = start.split()
        if path.startswith("/-/") or path == "/health":
            return self.control(path, body, writer)
        expected = headers.get("citronwharf-expect-instance", self.name)
        request = headers.get("citronwharf-request-id", "")
        echo = [("Citronwharf-Request-Id", request)]
        prefill = headers.get("citronwharf-stage") == "prefill"
        if expected != self.name or prefill != (self.stage == "prefill"):
            writer.write(response(421, b"", echo))
            return True
        if self.busy:
            writer.write(response(503, b"", echo +
                                  [("Citronwharf-Not-Run", "1")]))
            return True
        if prefill:
            tokens = sum(int(entry.split(":")[1]) for entry in
                         headers["citronwharf-prefix-hash"].split(","))
            await asyncio.sleep(0.01)
            out = {"handle": "%012x" % random.getrandbits(48),
                   "tokens": tokens, "version": 1}
            writer.write(response(200, json.dumps(out).encode(), echo))
            return True
        return await self.stream(headers, request, writer)

    async def stream(self, headers, request, writer):
        self.record.line("%s runs %s" % (self.name, request))
        self.runs.append((time.monotonic(), request))
        await asyncio.sleep(FIRST_EVENT_S)
        bad = [each for each in parts(headers)[:-1]
               if each in self.bad_parts]
        writer.write(("HTTP/1.1 200 OK\r\n"
                      "Citronwharf-Request-Id: %s\r\n"
                      "Citronwharf-Server-Stamp: %s.1\r\n"
                      "Citronwharf-Weight-Versions: 1\r\n"
                      "Content-Type: text/event-stream\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n" %
                      (request, self.name)).encode())
        if bad:
            await self.crash("%s with part %s" % (request, bad[0]))
            return False
        first = int(headers.get("last-event-id", "0")) + 1
        for number in range(first, EVENTS + 1):
            event = b"id: %d\ndata: t%d\n\n" % (number, number)
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(EVENT_S)
        writer.write(b"0\r\n\r\n")
        return True

    async def switch(self, stage, born):
        self.busy = True
        await asyncio.sleep(SWITCH_S)
        if self.born == born:
            self.stage, self.busy = stage, False
            self.entry["stage"] = stage
            self.record.line("%s is a %s server now" % (self.name, stage))

    def order(self, order):
        """Returns the status of an order."""
        if order.get("op") != "stage" or "holder" not in order or (
                "fence" not in order):
            return 400
        if order["stage"] == self.stage:
            return 200
        if self.busy or order.get("expected", self.orders) != self.orders:
            return 409
        self.orders += 1
        asyncio.get_running_loop().create_task(
            self.switch(order["stage"], self.born))
        return 202

    def control(self, path, body, writer):
        status, out = 200, {}
        if path == "/-/hold-take":
            out = {"hold": "%012x" % random.getrandbits(48)}
        elif path == "/-/report":
            out = {"stage": self.stage, "busy": self.busy, "seq": self.orders,
                   "waiting": 0, "running": 0, "kvUsed": 0, "kvTotal": 53213,
                   "handles": 0, "born": self.born,
                   "models": [{"name": "m", "version": 1, "adapters": []}]}
        elif path == "/-/order":
            status = self.order(json.loads(body))
        writer.write(response(status, json.dumps(out).encode(),
                              [("Citronwharf-Instance-Id", self.name)]))
        return True
