"""One part of a prompt crashes the servers that begin to answer it. Requests
with it come ten at once, as from a batch, every eight seconds; sound ones share
key and first part with them. The route can't be resumed and has one attempt."""
import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))
from crash_part import Plan, run  # noqa: E402
from stand import Record  # noqa: E402

PLAN = Plan(attempts=1, resumable=False, first_before="aaaa0001",
            first_after="aaaa0001", sound_delay_s=0, decode=18, batch=10,
            batch_every_s=8)
sys.exit(asyncio.run(run(Record(HERE), PLAN)))
