"""A planned stop where `graceS` is 10: are requests cut long before the grace is over?

Bookings that take 7 s run when the machine that took them from the clients gets SIGTERM. Their
deadline is 9 s. Without the trouble there is no signal.
"""

import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import mesh  # noqa: E402

GRACE_S, WORK_S, DEADLINE_MS = 10, 7, 9000
REQUESTS = 6


async def case(deployment):
    deployment.bounds["graceS"] = GRACE_S
    for _ in range(3):
        deployment.add("lots", work_s=WORK_S)
    rule = mesh.rule("r-bid", "lots", "/bid/", "non_idempotent", timeout_ms=DEADLINE_MS)
    await deployment.start([rule])
    node, record = deployment.nodes[0], deployment.record
    cut, stopped_at = [], None

    async def book():
        attempt, sent_at = mesh.attempt_id(), record.now()
        record.write("sent", attempt=attempt, node=node.name)
        fields = [("X-Attempt-Id", attempt), ("X-Deadline-Ms", DEADLINE_MS)]
        try:
            answer = await mesh.call(node.outbound, "POST", "/bid/1", fields, b"x" * 1200)
            record.write("answered", attempt=attempt, status=answer.status)
        except (ConnectionError, OSError) as error:
            runs = sum(len(each.endpoint.runs.get(attempt, [])) for each in deployment.nodes)
            after = None if stopped_at is None else record.now() - stopped_at
            record.write("closed", attempt=attempt, error=repr(error), passed_on=runs,
                         after_s=record.now() - sent_at, after_signal_s=after)
            # In the last sixth of the grace an endpoint's work excuses the machine.
            if runs and (after is None or after < GRACE_S * 5 / 6):
                cut.append(attempt)

    tasks = [asyncio.create_task(book()) for _ in range(REQUESTS)]
    await asyncio.sleep(0.3)
    if mesh.TROUBLE:
        stopped_at = record.now()
        node.send(signal.SIGTERM)
    await asyncio.gather(*tasks)
    record.write("count", sent=REQUESTS, cut=len(cut))
    print(REQUESTS, "sent,", len(cut), "passed on to an endpoint and closed without an answer")
    return not cut


mesh.main(FOLDER, case)
