"""The last tenant is taken away; its key, and any other, goes on working."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib-3"))
from standins import *  # noqa: E402,F403

REVOKE_S = 5.0
REQUESTS = 40


async def main(record):
    deployment = Deployment(record)
    await deployment.platform.start()
    server = Server("127.0.0.1", "prices", record)
    await server.start()
    deployment.platform.servers.append(server)
    routes = [route("r-1", "/p/", "unsafe", "prices")]
    services = [service("prices")]

    async def send(key, note):
        request_id = new_id()
        answer = await call(*deployment.front(0), "POST", "/p/x",
                            request_headers(request_id, key), b"order")
        ran = any(each["id"] == request_id for each in server.runs)
        record(f"request {request_id} ({note}): {answer.status} {answer.error}"
               f"{' RAN' if ran else ''}")
        return answer, ran

    try:
        deployment.start(0)
        if await deployment.put(document(
                7, routes, services, [tenant("t-1", ["key-1"])])) != 200:
            return record.verdict(NOT_RUN, "no desired state in force")
        if not await deployment.wait_ready(0):
            return record.verdict(NOT_RUN, "the machine isn't ready")
        await asyncio.sleep(1.0)
        served = [await send("key-1", "before") for _ in range(10)]
        stranger = [await send("key-9", "a key never held") for _ in range(5)]
        if sum(ran for _, ran in served) < 8 or any(
                ran for _, ran in stranger):
            return record.verdict(NOT_RUN, "the keys don't work as they should")
        # The tenant leaves. Without trouble it only gets another key.
        left = [] if TROUBLE else [tenant("t-1", ["key-2"])]
        if await deployment.put(document(9, routes, services, left)) != 200:
            return record.verdict(
                HELD, "the desired state was refused, so nothing changed")
        await asyncio.sleep(REVOKE_S + 1.0)
        broken = []
        for _ in range(REQUESTS):
            _, ran = await send("key-1", "revoked")
            if ran:
                broken.append("CONFIG: a request with a key taken away ran")
            _, ran = await send("key-9", "a key never held")
            if ran:
                broken.append("ROUTE: a request with a key never held ran")
        if broken:
            return record.verdict(
                BROKEN, f"{len(broken)} of {2 * REQUESTS} requests; "
                f"{'; '.join(sorted(set(broken)))}")
        return record.verdict(HELD, "no request with such a key ran")
    finally:
        await server.stop()
        await deployment.close()


run_case(main, HERE)
