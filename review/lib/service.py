"""Stand-in for a server of a plain service, which may crash as a whole."""
import asyncio
import time

from stand import Server, response

WORK_S = 0.03  # work of fiyat-onay and liste-okuma


class PlainServer(Server):
    def __init__(self, name, record, slots=6):
        super().__init__(self.handle)
        self.name, self.record, self.slots = name, record, slots
        self.writers, self.runs, self.crashes = set(), [], []
        self.down = False

    def listed(self, service, zone="z"):
        return {"id": self.name, "service": service, "addr": self.address,
                "zone": zone, "version": "v1", "slots": self.slots,
                "state": "ready", "coldLeftMs": 0}

    async def serve(self, reader, writer):
        if self.down:
            writer.transport.abort()
            return
        self.writers.add(writer)
        try:
            await super().serve(reader, writer)
        finally:
            self.writers.discard(writer)

    def crash(self, down_s):
        """Resets all channels and refuses new ones for this long."""
        if self.down:
            return
        self.down = True
        self.crashes.append(time.monotonic())
        self.record.line("%s crashes" % self.name)
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        asyncio.get_running_loop().create_task(self.restart(down_s))

    async def restart(self, down_s):
        await asyncio.sleep(down_s)
        await self.start(self.port)
        self.down = False
        self.record.line("%s is back" % self.name)

    async def handle(self, start, headers, body, reader, writer):
        request = headers.get("citronwharf-request-id", "")
        echo = [("Citronwharf-Request-Id", request)]
        if headers.get("citronwharf-expect-instance", self.name) != self.name:
            writer.write(response(421, b"", echo))
            return True
        self.runs.append((time.monotonic(), request))
        await asyncio.sleep(WORK_S)
        writer.write(response(200, b"list", echo + [
            ("Citronwharf-Server-Stamp", "%s.%s" % (self.name, request))]))
        return True
