"""The last client account leaves the configuration; see claim.txt."""

import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-2"))

import deployment as d  # noqa: E402

TENANT, KEY = "bozi300", "jnbanfqasnmgkcuyj8pj"
NEVER_HELD = "zzz0000000000000zzz0"
# config_apply_ms, and as much again.
APPLY_S = 4.0
REQUESTS = 12


def config(version, with_tenant):
    tenants = [{"name": TENANT, "api_keys": [KEY], "priority": 1}]
    return {"version": version,
            "routes": [d.route("r-js2eek2", "/bobo563/", "unsafe", "kafi81c",
                               600, 100, 1)],
            "services": [d.plain_service("kafi81c")],
            "limits": d.LIMITS, "tenants": tenants if with_tenant else []}


class Desk(d.Replica):
    def __init__(self, *arguments):
        self.runs = []
        super().__init__(*arguments)

    def serve(self, request):
        name = request.field("Request-Id")
        self.runs.append(name)
        self.record.write("run", request=name, replica=self.id,
                          tenant=request.field("Tenant-Name") or "none")
        time.sleep(0.015)
        request.connection.reply(200, self.stamp(request), b"booked")


def send(deployment, record, number, name, key):
    gateway = deployment.gateways[number % len(deployment.gateways)]
    request = f"{name}-{number}"
    record.write("sent", request=request, key=key, to=gateway.name)
    answer = d.call(gateway.ip, 8005, "POST", "/bobo563/lo7/2f",
                    [("Request-Id", request), ("Deadline-Ms", "600"),
                     ("X-Api-Key", key)], b"x" * 600)
    status = answer.status if answer else None
    record.write("answered", request=request, status=status)
    return status


def run(trouble, record):
    deployment = d.Deployment(gateways=3)
    try:
        desks = [Desk(deployment, 10 + number, "kafi81c", 6, record)
                 for number in range(3)]
        deployment.put_config(config(7, with_tenant=True))
        if not deployment.start(endpoints=3):
            record.write("not_ready")
            return 2
        held = [send(deployment, record, number, "calm", KEY)
                for number in range(REQUESTS)]
        unknown = [send(deployment, record, number, "calm-unknown", NEVER_HELD)
                   for number in range(REQUESTS)]
        if set(held) != {200} or set(unknown) != {401}:
            record.write("calm_differs", held=held, unknown=unknown)
            return 2
        deployment.put_config(config(12, with_tenant=not trouble))
        record.write("config_acknowledged", version=12,
                     tenants=0 if trouble else 1)
        time.sleep(APPLY_S)
        for number in range(REQUESTS):
            send(deployment, record, number, "never-held", NEVER_HELD)
            if trouble:
                send(deployment, record, number, "taken-away", KEY)
        ran = [name for desk in desks for name in desk.runs]
        never_held = sum(name.startswith("never-held") for name in ran)
        taken_away = sum(name.startswith("taken-away") for name in ran)
        record.write("verdict", ran_with_a_key_never_held=never_held,
                     ran_with_the_key_taken_away=taken_away)
        return 1 if never_held or taken_away else 0
    finally:
        deployment.stop()


if __name__ == "__main__":
    sys.exit(run(os.environ.get("TROUBLE", "1") != "0", d.Record(FOLDER)))
