"""An endpoint that fails part of its requests: is a booking refused as "not run" that has run?

One of eight endpoints begins to work on each request and, for 6 s, ends 45 in 100 of them with a 503. Its health check is good, and the answer doesn't say `X-Not-Executed`, since the request has run.
Clients send bookings, which aren't idempotent. Without the trouble, that endpoint works like the
others.
"""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import mesh  # noqa: E402

ENDPOINTS, REQUESTS, PER_S = 8, 2400, 240
FAILING_SHARE, FAILING_S = 0.45, 6.0
PROMISES = (408, 421, 429, 503)


class GreyEndpoint(mesh.Endpoint):
    """Fails part of the requests that it has begun, until `fails_until`."""

    fails_until = 0.0

    async def answer(self, request, writer):
        # The id of an attempt is random, so this is a fixed share of them.
        is_chosen = int(request.get("X-Attempt-Id")[:4], 16) < FAILING_SHARE * 0x10000
        if is_chosen and self.mesh.record.now() < self.fails_until:
            self.mesh.record.write("failed", attempt=request.get("X-Attempt-Id"), status=503)
            writer.write(mesh.response(503, self.signed(request), b"booking half written"))
        else:
            await super().answer(request, writer)


async def case(deployment):
    for number in range(ENDPOINTS):
        kind = GreyEndpoint if number == 0 else mesh.Endpoint
        deployment.add("lots", zone=f"hall-{'abcd'[number % 4]}", endpoint=kind, work_s=0.12,
                       slots=15)
    await deployment.start([mesh.rule("r-bid", "lots", "/bid/", "non_idempotent", timeout_ms=800)])
    record, broken, served = deployment.record, 0, 0
    if mesh.TROUBLE:
        deployment.nodes[0].endpoint.fails_until = record.now() + FAILING_S

    async def book(number):
        nonlocal broken, served
        await asyncio.sleep(number / PER_S)
        node, attempt = deployment.nodes[number % ENDPOINTS], mesh.attempt_id()
        record.write("sent", attempt=attempt, node=node.name)
        fields = [("X-Attempt-Id", attempt), ("X-Deadline-Ms", 1500)]
        answer = await mesh.call(node.outbound, "POST", "/bid/1", fields, b"x" * 1200)
        runs = sum(len(each.endpoint.runs.get(attempt, [])) for each in deployment.nodes)
        record.write("answered", attempt=attempt, status=answer.status, runs=runs,
                     signature=answer.get("X-Response-Signature"))
        served += answer.status == 200
        broken += answer.status in PROMISES and runs > 0

    await asyncio.gather(*(book(number) for number in range(REQUESTS)))
    record.write("count", sent=REQUESTS, served=served, promised_not_run_and_ran=broken)
    print(REQUESTS, "sent,", served, "served;", broken, "answered as not run although they ran")
    if served < REQUESTS / 2:
        raise mesh.CannotRun("most requests were not served")
    return broken == 0


mesh.main(FOLDER, case)
