"""An endpoint says that it leaves, its daemon acknowledges that, is killed and starts again.

A heartbeat that the endpoint sent before it left arrives late, after the restart. The endpoint goes
on serving for some seconds, as PROTOCOL.md allows, and exits.
"""

import os
import signal
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from harness import BOUNDS, CannotRun, Endpoint, TROUBLE, configuration, play, request  # noqa: E402

WORK_MS = 290  # The mean work of an order on the sheet.
TIMEOUT_S = 1.2
DEADLINE_MS = 2000
GAP_S = 0.2  # Between two orders on one machine.
LATE_S = 2.8  # The delay of the late heartbeat.
DOWN_S = 0.5  # Until the platform starts a killed daemon again.
SERVES_ON_S = 8.0  # Time from the acknowledgement of the leave until the endpoint exits.


def case(bench):
    for name, zone, region in (("m1", "ost-a", "ostalpen"), ("m2", "west-a", "westalpen"),
                               ("m3", "donau-a", "donau")):
        bench.add_machine(name, zone, region, "bestellung")
    bench.configure(configuration(
        [("orders", "shop.example", "/orders/", "unsafe", TIMEOUT_S, "bestellung")],
        ["bestellung"]))
    for machine in bench.machines:
        machine.start()
    endpoints = [Endpoint(bench, machine, f"i-{machine.name}") for machine in bench.machines]
    bench.wait_until_ready()
    time.sleep(4)
    results, threads, numbers = [], [], iter(range(1, 100000))
    lock = threading.Lock()

    def order(machine, number):
        identity = f"{number:016x}"
        at = bench.record.now()
        try:
            answer = request(
                machine.outbound, "POST", f"/orders/{number}/work-{WORK_MS}",
                {"Host": "shop.example", "X-Dandelionstand-Request-Id": identity,
                 "X-Dandelionstand-Deadline-Milliseconds": str(DEADLINE_MS)},
                b"one box", timeout=DEADLINE_MS / 1000)
            status, end = answer.status, answer.end
        except OSError as error:
            status, end = 0, f"no connection: {error}"
        with lock:
            results.append((at, identity, machine.name, status, end))
        bench.record.write(f"client on {machine.name}: {identity} sent at {at:.3f}, "
                           f"status {status}, {end}")

    def traffic(machine):
        while not bench.ended and not stopping.is_set():
            if machine.takes_clients():
                with lock:
                    number = next(numbers)
                thread = threading.Thread(target=order, args=(machine, number), daemon=True)
                threads.append(thread)
                thread.start()
            time.sleep(GAP_S)

    stopping = threading.Event()
    for machine in bench.machines:
        threading.Thread(target=traffic, args=(machine,), daemon=True).start()
    time.sleep(3)

    leaving, machine = endpoints[0], bench.machines[0]
    leaving.beats = False
    time.sleep(1)
    path, body = leaving.heartbeat()
    bench.record.write(f"endpoint {leaving.id}: heartbeat {leaving.sequence} sent, will be late")

    def deliver_late():
        time.sleep(LATE_S)
        status = leaving.post(path, body)
        bench.record.write(f"endpoint {leaving.id}: late heartbeat arrives, answered {status}")

    threading.Thread(target=deliver_late, daemon=True).start()
    time.sleep(0.3)
    if not leaving.leave():
        raise CannotRun("the leave was not acknowledged")
    acknowledged = bench.record.now()
    in_touch = acknowledged
    if TROUBLE:
        time.sleep(0.05)
        machine.signal(signal.SIGKILL)
        machine.wait()
        time.sleep(DOWN_S)
        machine.start()
        # The machine is in touch once stable-window-s have passed since its start.
        in_touch = bench.record.now() + BOUNDS["stable-window-s"]
    time.sleep(max(0, acknowledged + SERVES_ON_S - bench.record.now()))
    leaving.end()
    time.sleep(2)
    stopping.set()
    for thread in list(threads):
        thread.join(5)

    sent = {identity: (at, name, status, end) for at, identity, name, status, end in results}
    bound = max(acknowledged + BOUNDS["drain-s"], in_touch)
    broken = []
    for at, identity, _ in leaving.arrivals:
        if at > bound and identity in sent and sent[identity][0] > bound:
            _, name, status, _ = sent[identity]
            broken.append(
                f"DRAIN: {identity}, taken by {name}, reached {leaving.id} "
                f"{at - acknowledged:.2f} s after its leave was acknowledged, "
                f"{at - in_touch:.2f} s after m1 was in touch; the client got {status}")
    cut = [line for line in broken if line.endswith(" 502")]
    bench.record.write(f"{len(results)} orders; {len(broken)} late at the endpoint that left, "
                       f"of these {len(cut)} cut by its exit (502)")
    return broken


play(__file__, case)
