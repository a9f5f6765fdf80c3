"""A restarted node lets requests through to an endpoint whose leaving it acknowledged.

TROUBLE=1 (default): the node is killed and started again, a heartbeat that the endpoint sent before it
left arrives seconds late, and the endpoint is slow. TROUBLE=0: none of them. TROUBLE=kill, late and slow:
one of them; TROUBLE=fast: all but the slow endpoint.
"""

import itertools
import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import standins  # noqa: E402

DRAIN_S = 2.0  # the bound `drainMs`
STABLE_S = 3.0  # the bound `stableWindowMs`
# Times after the acknowledgement of the goodbye, in seconds.
KILL, RESTART, LATE_BEAT, EXIT, END = 0.05, 0.15, 3.4, 4.5, 6.0
BEAT_BEFORE = 0.1  # the late heartbeat was sent this long before the goodbye
SLOW = 5.0  # the endpoint works this many times as long from then on
WORK_S, DEADLINE_MS, GAP_S = 0.16, 1200, 0.01

LAYOUT = [
    ("a", "fieldservice"), ("b", "fieldservice"), ("c", "fieldservice"),
    ("a", "fieldservice"), ("b", "partsdesk"), ("c", "partsdesk"),
]
RULES = [
    ("r-booking", "non_idempotent", "/booking/", "fieldservice", 1200, 1200),
    ("r-order", "non_idempotent", "/order/", "partsdesk", 1200, 1200),
]


class Clients:
    """Clients of all machines but one: a booking each GAP_S, each on a new connection."""

    def __init__(self, record, machines):
        self.record, self.machines, self.stopped = record, machines, False
        self.attempts, self.answers = {}, {}

    def run(self):
        for number in itertools.count():
            if self.stopped:
                return
            machine = self.machines[number % len(self.machines)]
            threading.Thread(target=self.send, args=(machine, f"{number:016x}"), daemon=True).start()
            time.sleep(GAP_S)

    def send(self, machine, attempt):
        self.attempts[attempt] = (standins.now(), machine)
        self.answers[attempt] = standins.call(
            self.record, machine, "POST", "/booking/1", attempt, DEADLINE_MS, WORK_S, b"visit"
        )


def case(record, trouble):
    kills, beats_late = trouble in ("1", "fast", "kill"), trouble in ("1", "fast", "late")
    slowness = SLOW if trouble in ("1", "slow") else 1.0
    site = standins.Site(record, LAYOUT, standins.configuration(7, RULES, ["fieldservice", "partsdesk"]))
    try:
        return play(record, site, kills, beats_late, slowness)
    finally:
        site.stop()


def play(record, site, kills, beats_late, slowness):
    site.start()
    machine, *others = site.machines
    endpoint = machine.endpoint
    clients = Clients(record, others)
    threading.Thread(target=clients.run, daemon=True).start()
    services = [m.endpoint for m in site.machines if m.service == "fieldservice"]
    site.wait(lambda: all(len(e.runs) >= 3 for e in services), 20, "all endpoints of the service get requests")
    time.sleep(STABLE_S)

    # The endpoint sends a heartbeat that is delayed on its way, then leaves with a goodbye.
    late_beat, sent_at = endpoint.next_beat(), standins.now()
    record("beat-sent", endpoint=endpoint.id, sequence=endpoint.sequence, delayed=beats_late)
    endpoint.silent = True
    endpoint.slowness = slowness
    time.sleep(BEAT_BEFORE)
    endpoint.leaving = True
    acknowledged = endpoint.beat("DELETE", f"/api/instances/{endpoint.id}")
    if acknowledged is None:
        raise standins.CannotRun("the goodbye was not acknowledged")

    def until(seconds):
        time.sleep(max(0.0, acknowledged + seconds - standins.now()))

    if kills:
        until(KILL)
        machine.kill_node()
        until(RESTART)
        machine.start_node()
    until(LATE_BEAT)
    if beats_late:
        endpoint.beat(*late_beat, sent_at=sent_at)
    until(EXIT)
    endpoint.stop()
    until(END)
    clients.stopped = True
    time.sleep(DEADLINE_MS / 1000 + 0.6)

    # The rule, from what clients, endpoints and the platform saw: the request was sent by its client
    # later than `drainMs` after the acknowledgement, and ran at the endpoint. It counts only if the
    # node beside the endpoint had run undisturbed for `stableWindowMs`; all others were never disturbed.
    broken = []
    for run_at, attempt in endpoint.runs:
        sent, entry = clients.attempts[attempt]
        in_touch = sent >= machine.started_at + STABLE_S
        if sent > acknowledged + DRAIN_S and in_touch:
            answer = clients.answers.get(attempt)
            status = "no answer" if answer is None else answer.status
            broken.append(
                f"request {attempt}, sent at {entry.name} {sent - acknowledged:.2f} s after the acknowledgement, "
                f"ran at endpoint {endpoint.id} from {run_at - acknowledged:.2f} s on; its client got {status}"
            )
    return broken


if __name__ == "__main__":
    standins.run(case, os.path.join(FOLDER, "record.txt"))
