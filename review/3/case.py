"""A stopping node takes long requests that it breaks off before they end.

TROUBLE=1 (default): two machines are stopped in turn, the second while the first one stops. TROUBLE=0: the
second one alone.
"""

import itertools
import os
import signal
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import standins  # noqa: E402

STABLE_S = 3.0  # the bound `stableWindowMs`
GRACE_S = 6.0  # the bound `graceS`
GAP_S = 2.6  # between the two stops
# A long bid of wisla-mesh-grown: its deadline, its longest work less a little, its aim.
DEADLINE_MS, WORK_S, AIM_MS = 6000, 3.8, 1200
# Times around the first stop, in seconds, between which the clients of the second machine bid.
FROM, TO, EVERY = 1.4, 2.5, 0.04

LAYOUT = [("a", "lots"), ("b", "lots"), ("c", "lots"), ("a", "settle"), ("b", "settle"), ("c", "settle")]
RULES = [
    ("r-bid", "non_idempotent", "/bid/", "lots", AIM_MS, DEADLINE_MS),
    ("r-charge", "non_idempotent", "/charge/", "settle", 800, 3000),
]


class Clients:
    """Clients of one machine, each with one bid on a connection of its own."""

    def __init__(self, record, machine):
        self.record, self.machine = record, machine
        self.numbers = itertools.count()
        self.attempts, self.answers = {}, {}

    def bid(self, work_s):
        attempt = f"{next(self.numbers):016x}"
        threading.Thread(target=self.send, args=(attempt, work_s), daemon=True).start()

    def send(self, attempt, work_s):
        self.attempts[attempt] = (standins.now(), work_s)
        answer = standins.call(
            self.record, self.machine, "POST", "/bid/1", attempt, DEADLINE_MS, work_s, b"bid"
        )
        self.answers[attempt] = (standins.now(), answer)


def case(record, trouble):
    site = standins.Site(record, LAYOUT, standins.configuration(7, RULES, ["lots", "settle"]))
    try:
        return play(record, site, trouble != "0")
    finally:
        site.stop()


def stop(record, machine):
    """What the platform does: SIGTERM, and SIGKILL after `graceS`."""
    machine.process.send_signal(signal.SIGTERM)
    record("node-term", machine=machine.name)

    def kill():
        try:
            machine.process.wait(GRACE_S)
            record("node-ended", machine=machine.name)
        except Exception:  # still there: its time is over
            machine.process.kill()
            record("node-kill", machine=machine.name)

    threading.Thread(target=kill, daemon=True).start()
    return standins.now()


def play(record, site, first_stops):
    site.start()
    first, second, *_ = site.machines
    clients = Clients(record, second)
    for _ in range(60):
        clients.bid(0.1)
        time.sleep(0.05)
    time.sleep(STABLE_S)

    begun = standins.now()
    if first_stops:
        stop(record, first)

    def until(seconds):
        time.sleep(max(0.0, begun + seconds - standins.now()))

    until(FROM)
    while standins.now() < begun + TO:
        clients.bid(WORK_S)
        time.sleep(EVERY)
    until(GAP_S)
    term_at = stop(record, second)
    time.sleep(DEADLINE_MS / 1000 + 0.6)

    # The rule, from what clients and endpoints saw: a request that the second machine took from its client
    # around its SIGTERM was broken off while its endpoint was at work, before the request's deadline and
    # before the last sixth of the grace time.
    broken = []
    for machine in site.machines:
        for run_at, attempt in machine.endpoint.runs:
            sent, work_s = clients.attempts[attempt]
            answered, answer = clients.answers.get(attempt, (None, None))
            if answered is None or work_s != WORK_S:
                continue
            in_plan = term_at <= answered < term_at + GRACE_S * 5 / 6
            in_time = answered < sent + DEADLINE_MS / 1000 - 0.1
            at_work = answered < run_at + WORK_S
            is_endpoints = answer is not None and "x-response-signature" in answer.headers
            if in_plan and in_time and at_work and not is_endpoints:
                status = "no answer" if answer is None else answer.status
                broken.append(
                    f"request {attempt}, sent {sent - term_at:+.2f} s around the SIGTERM of {second.name}, ran beside "
                    f"{machine.name} for {answered - run_at:.2f} of {WORK_S} s when its client got {status}, "
                    f"{answered - term_at:.2f} s after the SIGTERM"
                )
    return broken


if __name__ == "__main__":
    standins.run(case, os.path.join(FOLDER, "record.txt"))
