"""One part of a prompt crashes the servers that begin to answer it. The key's
requests have a new first part, and the bad ones come 1.6 s before sound ones.
The route can't be resumed and has one attempt."""
import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parents[1] / "lib"))
from crash_part import Plan, run  # noqa: E402
from stand import Record  # noqa: E402

PLAN = Plan(attempts=1, resumable=False, first_before="aaaa0001",
            first_after="aaaa0002", sound_delay_s=1.6, decode=6)
sys.exit(asyncio.run(run(Record(HERE), PLAN)))
