"""A grantor of quotas that is cut off goes on beside its successor."""

import json
import os
import re
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-2"))
import mesh  # noqa: E402

RATE = 60
BURST = 60
WINDOW_S = 5
OVERAGE = 0.1
SLACK = 20
TENANTS = 8
USUAL_PER_S = 6  # of each machine
HOT_THERE_PER_S = 90
HOT_ELSEWHERE_PER_S = 22  # of each other machine
USUAL_FOR_S = 4
HOT_FOR_S = 6.5
CUT_AFTER_HOT_S = 0.5
CUT_FOR_S = 5.5
FRONT = 100


def front_of(ip):
    """The address of the proxy before a machine."""
    net, host = ip.rsplit(".", 1)
    return "%s.%d" % (net, int(host) + FRONT)


def edit_settings(machine, text):
    """Peers and the store are reached through the proxies."""
    settings = json.loads(re.sub(r"^\s*//.*$", "", text, flags=re.M))
    settings["peers"]["advertise"] = "%s:%d" % (front_of(machine.ip), mesh.PEER_PORT)
    settings["platform"]["seeds"] = ["%s:%d" % (front_of(seed.split(":")[0]), mesh.CONTROL_PORT)
                                     for seed in settings["platform"]["seeds"]]
    store_net = machine.ip.rsplit(".", 1)[0]
    settings["log"]["address"] = "%s.251:%d" % (store_net, mesh.STORE_PORT)
    return json.dumps(settings, indent=2)


def tokens_granted(machine):
    text = mesh.request(machine.admin, "GET", "/metrics").body.decode()
    return sum(int(count) for count in
               re.findall(r"^dandelion_quota_grants_total\S* (\d+)", text, re.M))


def send(machine, tenant, request_id):
    headers = mesh.client_headers(request_id, 2000)
    headers.append(("Authorization", "Bearer key-%d" % tenant))
    try:
        return mesh.request(machine.outbound, "GET", "/read/1", headers, timeout=3).status
    except (OSError, ConnectionError):
        return 0


def find_tenant(site, record):
    """A tenant whose tokens the machine in zone a grants."""
    alone = site["m0"]
    for tenant in range(TENANTS):
        before = [tokens_granted(machine) for machine in site.machines]
        for number in range(3):
            send(alone, tenant, "probe-%d-%d" % (tenant, number))
        after = [tokens_granted(machine) for machine in site.machines]
        granted = [machine.name for machine, old, new in zip(site.machines, before, after)
                   if new > old]
        record.write("tenant t%d: tokens come from %s" % (tenant, granted))
        if granted == [alone.name]:
            return tenant
    raise mesh.CannotRun("no tenant's tokens come from m0")


class Clients:
    """The tenant's clients on one machine, at a rate that changes."""

    def __init__(self, machine, tenant):
        self.machine = machine
        self.tenant = tenant
        self.per_s = USUAL_PER_S
        self.is_stopped = False
        self.statuses = {}
        mesh.in_thread(self._run)

    def _run(self):
        number = 0
        due = time.monotonic()
        while not self.is_stopped:
            due += 1 / self.per_s
            number += 1
            mesh.in_thread(self._send, "load-%s-%d" % (self.machine.name, number))
            time.sleep(max(0, due - time.monotonic()))

    def _send(self, request_id):
        status = send(self.machine, self.tenant, request_id)
        self.statuses[status] = self.statuses.get(status, 0) + 1


def most_in_window(times):
    most, start = 0, 0
    window = (0, 0)
    for end, at in enumerate(times):
        while at - times[start] >= WINDOW_S:
            start += 1
        if end - start + 1 > most:
            most = end - start + 1
            window = (times[start], at)
    return most, window


def play(record):
    links = mesh.Links()
    zones = ["a", "b", "c", "b", "c", "b"]
    site = mesh.Site(record, [("m%d" % index, zone, "receipts") for index, zone in enumerate(zones)],
                     bounds={"fail-closed": "true", "revocation-s": 5, "quota-window-s": WINDOW_S,
                             "quota-overage": OVERAGE, "quota-slack": SLACK},
                     edit_settings=edit_settings)
    for machine in site.machines:
        links.forward((front_of(machine.ip), mesh.PEER_PORT), (machine.ip, mesh.PEER_PORT))
    links.forward((site.net + ".251", mesh.STORE_PORT), (site.net + ".250", mesh.STORE_PORT))
    try:
        site.publish([("read", "/read/", "safe", 2, "receipts")], ["receipts"],
                     [["t%d" % tenant, ["key-%d" % tenant], 1, RATE, BURST]
                      for tenant in range(TENANTS)])
        site.start()
        time.sleep(2)
        tenant = find_tenant(site, record)
        clients = [Clients(machine, tenant) for machine in site.machines]
        time.sleep(USUAL_FOR_S)
        record.write("disruption: tenant t%d sends many times its usual" % tenant)
        for each in clients:
            each.per_s = HOT_THERE_PER_S if each.machine.name == "m0" else HOT_ELSEWHERE_PER_S
        time.sleep(CUT_AFTER_HOT_S)
        cut_at = time.monotonic()
        if mesh.has_trouble():
            record.write("disruption: m0 is cut off from the others and from the store")
            links.cut(site["m0"].ip)
        time.sleep(CUT_FOR_S)
        links.heal()
        record.write("m0 is connected again")
        time.sleep(0.5)
        for each in clients:
            each.per_s = USUAL_PER_S
        time.sleep(3)
        for each in clients:
            each.is_stopped = True
        time.sleep(2.5)
        for each in clients:
            record.write("clients on %s: statuses %s" % (each.machine.name, each.statuses))
        runs = sorted((at, request_id) for machine in site.machines
                      for at, request_id in machine.endpoint.runs
                      if request_id.startswith("load-"))
        for second in range(-5, 10):
            counts = [sum(1 for at, request_id in runs if second <= at - cut_at < second + 1 and
                          request_id.startswith("load-m0-") == is_m0) for is_m0 in (True, False)]
            record.write("second %d from the cut: %d ran from m0, %d from the others"
                         % (second, counts[0], counts[1]))
        most, window = most_in_window([at for at, _ in runs])
        limit = (RATE * WINDOW_S + BURST) * (1 + OVERAGE) + SLACK
        record.write("most that ran in %d s: %d, from %.1f s to %.1f s after the cut; allowed: %d"
                     % (WINDOW_S, most, window[0] - cut_at, window[1] - cut_at, limit))
        return most <= limit
    finally:
        site.stop()


mesh.main(FOLDER, play)
