"""One part of a prompt of 35 parts, the 34th, crashes the servers that begin
to answer it. Requests with it come once a second, no two alike; sound ones
share key and the parts before it with them. The route can't be resumed and has
one attempt."""
import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))
from crash_part import Plan, run  # noqa: E402
from stand import Record  # noqa: E402

PLAN = Plan(attempts=1, resumable=False, first_before="aaaa0001",
            first_after="aaaa0001", sound_delay_s=0, decode=6, middle=32)
sys.exit(asyncio.run(run(Record(HERE), PLAN)))
