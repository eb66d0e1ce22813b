"""A stream is answered with an unsigned 206 by a server that garbles."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib-3"))
from standins import *  # noqa: E402,F403

REQUESTS = 240
# Each garbling server spoils one answer in 50: 2 %.
SPOILED_EVERY = 50


async def main(record):
    deployment = Deployment(record)
    await deployment.platform.start()
    servers = [Server("127.0.0.1", "engines", record, stage="decode",
                      zone="a") for _ in range(2)]
    answers = {"count": 0}
    spoiled = set()

    async def garble(server, request, writer):
        if request.get("Citronwharf-Stage"):
            return None
        answers["count"] += 1
        if answers["count"] % SPOILED_EVERY != SPOILED_EVERY // 2:
            return None
        spoiled.add(request.get("Citronwharf-Request-Id"))
        writer.write(answer_bytes(
            206, server.common_headers(request), b"\x00\x17spoiled",
            "Partial Content"))
        return True

    for each in servers:
        await each.start()
        deployment.platform.servers.append(each)
    if TROUBLE:
        servers[0].on_request = garble
    try:
        deployment.start(0)
        state = document(
            7, [route("r-1", "/a/", "stream", "engines", attempts=2,
                      resumable=True)],
            [service("engines", ENGINE)], [tenant("t-1", ["key-1"])])
        if await deployment.put(state) != 200:
            return record.verdict(NOT_RUN, "no desired state in force")
        if not await deployment.wait_ready(0):
            return record.verdict(NOT_RUN, "the machine isn't ready")
        await asyncio.sleep(1.0)
        broken, good = [], 0

        async def one():
            nonlocal good
            request_id = new_id()
            answer = await call(*deployment.front(0), "POST", "/a/x",
                                request_headers(request_id, "key-1", True),
                                b"prompt")
            stamped = answer.get("Citronwharf-Server-Stamp") is not None
            record(f"request {request_id}: {answer.status} "
                   f"{'stamped' if stamped else 'no stamp'} "
                   f"whole={answer.whole} {answer.error}"
                   f"{' (spoiled by a server)' if request_id in spoiled else ''}")
            if answer.status is None:
                return
            if 200 <= answer.status < 300 and answer.whole and not stamped:
                broken.append((request_id, answer.status, answer.body[:40]))
            elif answer.status == 200 and answer.whole:
                good += 1

        for _ in range(REQUESTS // 8):
            await asyncio.gather(*(one() for _ in range(8)))
        record(f"{good} of {REQUESTS} served, {len(spoiled)} answers spoiled")
        if good < REQUESTS // 2:
            return record.verdict(NOT_RUN, "too few requests were served")
        if broken:
            return record.verdict(
                BROKEN, f"{len(broken)} successes without a server's stamp, "
                f"the first: {broken[0]}")
        return record.verdict(HELD, "no success without a server's stamp")
    finally:
        for each in servers:
            await each.stop()
        await deployment.close()


run_case(main, HERE)
