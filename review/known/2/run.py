"""One part of a prompt crashes the servers that begin to answer it. Requests
with it come once a second, no two alike; sound ones share key and first part
with them. The route may be resumed and has two attempts."""
import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parents[1] / "lib"))
from crash_part import Plan, run  # noqa: E402
from stand import Record  # noqa: E402

PLAN = Plan(attempts=2, resumable=True, first_before="aaaa0001",
            first_after="aaaa0001", sound_delay_s=0, decode=12)
sys.exit(asyncio.run(run(Record(HERE), PLAN)))
