"""A small deployment: the platform's log, replicas and gateways as processes on
loopback, and clients. All processes end with it."""
import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.request

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
GATEWAY = os.path.join(ROOT, "target", "bin", "carobshiftd")
PLATFORM = os.path.join(ROOT, "build", "bin", "standin_platform")
KEY = "jnbanfqasnmgkcuyj8pj"
OTHER_KEY = "qhw7c2mz0e4t9vbn5rxd"
HEARTBEAT_S = 1.2


def now_ms():
    return int(time.monotonic() * 1000)


def free_port(host):
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


def free_range(hosts, size):
    """Returns the first of `size` ports that are free on all hosts."""
    for _ in range(200):
        first = random.randrange(20000, 30000 - size)
        sockets = []
        try:
            for host in hosts:
                for port in range(first, first + size):
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        one = socket.socket(socket.AF_INET, kind)
                        sockets.append(one)
                        one.bind((host, port))
            return first
        except OSError:
            continue
        finally:
            for one in sockets:
                one.close()
    raise RuntimeError("no free ports")


class Cluster:
    def __init__(self, case_dir, gateways, engines, plain=0, replica_flags=(),
                 down_s=2.0, slots=128, max_body=65536,
                 plain_slots=6, garbled=0, extra_late=0.0):
        self.case_dir = case_dir
        self.temp = tempfile.TemporaryDirectory(prefix="carobshift-review-")
        self.replica_log = os.path.join(self.temp.name, "replicas.jsonl")
        open(self.replica_log, "w").close()
        self.record = []
        self.lock = threading.Lock()
        self.processes = []
        self.replica_flags = list(replica_flags)
        self.down_s = down_s
        self.slots = slots
        self.max_body = max_body
        self.plain_slots = plain_slots
        # So many plain replicas send some answers a second time.
        self.garbled = garbled
        self.extra_late = extra_late
        self.stopping = False
        self.keeper = None
        self.hosts = [f"127.0.1.{i + 1}" for i in range(gateways)]
        self.base = free_range(self.hosts, 8)
        self.gateways = [None] * gateways
        self.replicas = []
        self.starts = 0
        self.engines = engines
        self.plain = plain

    # Processes

    def spawn(self, command, name, env=None):
        log = open(os.path.join(self.temp.name, name + ".log"), "ab")
        process = subprocess.Popen(command, stdout=log, stderr=log, env=env,
                                   cwd=self.temp.name)
        self.processes.append(process)
        return process

    def start(self):
        # So that the processes end with the script also when it is stopped.
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
        self.platform = f"127.0.0.1:{free_port('127.0.0.1')}"
        self.spawn([PLATFORM, "--listen", self.platform], "platform")
        self.wait_port(self.platform)
        self.put_config()
        for i in range(self.engines):
            self.add_replica(i, plain=False)
        for i in range(self.plain):
            self.add_replica(self.engines + i, plain=True)
        for replica in self.replicas:
            self.wait_port(replica["address"])
        self.keeper = threading.Thread(target=self.keep_replicas, daemon=True)
        self.keeper.start()
        for i in range(len(self.gateways)):
            self.start_gateway(i, first=True)
        for i in range(len(self.gateways)):
            self.wait_ready(i)

    def stop(self):
        self.stopping = True
        if self.keeper is not None:
            self.keeper.join()
        for process in self.processes:
            if process.poll() is None:
                process.kill()
        for process in self.processes:
            process.wait()
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(self.temp.name, os.environ["KEEP_LOGS"],
                            dirs_exist_ok=True)

    def wait_port(self, address, limit=10):
        host, port = address.split(":")
        end = time.monotonic() + limit
        while time.monotonic() < end:
            try:
                socket.create_connection((host, int(port)), 1).close()
                return
            except OSError:
                time.sleep(0.05)
        raise RuntimeError("nothing listens at " + address)

    # The platform's store

    def put(self, topic, key, value):
        record = bytes([len(key)]) + key.encode() + value.encode()
        body = len(record).to_bytes(4, "big") + record
        url = f"http://{self.platform}/log-append?topic={topic}&part=0"
        with urllib.request.urlopen(
                urllib.request.Request(url, body, method="POST"), timeout=5):
            pass

    def try_put(self, replica, entry):
        try:
            self.put("keyed.servers", replica, entry)
            return True
        except OSError:
            return False

    def put_config(self, version=1, isolated=False):
        """Acknowledged when it returns. `isolated` is that of bozi300."""
        def route(name, kind, service, resumable, attempts):
            return {"name": name, "host": "pule25.example",
                    "path_prefix": f"/{name}/", "kind": kind,
                    "timeout_ms": 15000, "target_latency_ms": 800,
                    "priority": 1, "service": service, "attempts": attempts,
                    "allow_anonymous": False,
                    "sticky_sessions": service == "lm-pool",
                    "resumable": resumable, "target_gap_ms": 300}
        config = {
            "version": version,
            "routes": [route("review", "streaming", "lm-pool", True, 2),
                       route("find", "safe", "desk", False, 2),
                       route("book", "unsafe", "desk", False, 1)],
            "services": [
                {"name": "lm-pool", "connection_limit": 620,
                 "health_check_path": "/health",
                 "engine": {"slots": self.slots, "kv_cache_tokens": 213154,
                            "max_concurrent": 16,
                            "models": [{"name": "m1"}]}},
                {"name": "desk", "connection_limit": 100,
                 "health_check_path": "/health"}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": self.max_body,
                       "header_timeout_ms": 1000, "idle_timeout_ms": 5000},
            "tenants": [{"name": "bozi300", "api_keys": [KEY],
                         "isolated": isolated},
                        {"name": "mila200", "api_keys": [OTHER_KEY],
                         "isolated": False}]}
        self.put("keyed.op", "config", json.dumps(config))

    # Replicas

    def add_replica(self, index, plain):
        address = f"127.0.3.{index + 1}:{free_port('127.0.3.1')}"
        replica = {"address": address, "plain": plain, "sequence": 0}
        self.replicas.append(replica)
        self.start_replica(replica)

    def start_replica(self, replica):
        self.starts += 1
        replica["id"] = f"i-{self.starts:04x}"
        replica["up_since"] = time.monotonic()
        command = [sys.executable, os.path.join(HERE, "replica.py"),
                   "--id", replica["id"], "--listen", replica["address"],
                   "--log", self.replica_log,
                   "--slots", str(self.slots_of(replica))]
        command += self.replica_flags
        if replica["plain"]:
            command.append("--plain")
            if self.replicas.index(replica) - self.engines < self.garbled:
                command += ["--extra-late", str(self.extra_late)]
        replica["process"] = self.spawn(command, "replica-" + replica["id"])
        replica["next_beat"] = 0.0

    def slots_of(self, replica):
        return self.plain_slots if replica["plain"] else self.slots

    def keep_replicas(self):
        """Heartbeats of the replicas, restarts, and the platform's removal of
        records after three heartbeat intervals of silence."""
        old = []
        while not self.stopping:
            now = time.monotonic()
            for replica in self.replicas:
                if replica["process"].poll() is not None:
                    if "down_at" not in replica:
                        replica["down_at"] = now
                        old.append((now + 3 * HEARTBEAT_S, replica["id"]))
                    elif now - replica["down_at"] >= self.down_s:
                        del replica["down_at"]
                        self.start_replica(replica)
                        replica["next_beat"] = now + 0.4
                elif now >= replica["next_beat"]:
                    replica["next_beat"] = now + HEARTBEAT_S
                    replica["sequence"] += 1
                    self.try_put(replica["id"], json.dumps(self.entry(replica)))
            for when, name in [one for one in old if one[0] <= now]:
                if self.try_put(name, ""):
                    old.remove((when, name))
            time.sleep(0.05)

    def entry(self, replica):
        plain = replica["plain"]
        return {"service": "desk" if plain else "lm-pool",
                "address": replica["address"], "zone": "hall-esja",
                "version": "v1", "slots": self.slots_of(replica),
                "state": "ready",
                "cold_remaining_ms": 0, "sequence": replica["sequence"],
                "stage": "combined",
                "models": [] if plain else [
                    {"name": "m1", "version": 1, "adapters": []}]}

    # Gateways

    def settings_of(self, i, first):
        host, base = self.hosts[i], self.base
        seeds = "".join(f'  - "{h}:{base + 3}"\n' for h in self.hosts[:3])
        return (
            f'node_name: "front-{i}"\nrole: "gateway"\nmachine_class: "front"\n'
            f'ip: "{host}"\nzone: "hall-esja"\nregion: "reykjavik"\n'
            f'zones:\n  hall-esja: "reykjavik"\nlisten_addresses:\n'
            f'  front: "{host}:{base}"\n  ready: "{host}:{base + 1}"\n'
            f'  directory: "{host}:{base + 2}"\n  control: "{host}:{base + 3}"\n'
            f'internal_port_range:\n  - {base + 4}\n  - {base + 6}\n'
            f'seeds:\n{seeds}first_start: {"true" if first else "false"}\n'
            f'heartbeat_interval_ms: 1200\n'
            f'bounds:\n  stable_window_ms: 3000\n  grace_period_s: 8\n'
            f'  retry_budget_ratio: 0.2\n  budget_window_s: 10\n'
            f'  retry_budget_extra: 54\n  require_fencing: true\n'
            f'  lease_ms: 3000\n  version_ms: 15000\n  ttl_max_s: 5\n'
            f'platform:\n  address: "{self.platform}"\n  form: "log"\n'
            f'  keep_s: 20\n')

    def start_gateway(self, i, first=False):
        path = os.path.join(self.temp.name, f"boot-{i}.yaml")
        with open(path, "w") as out:
            out.write(self.settings_of(i, first))
        env = dict(os.environ, CAROBSHIFT_SETTINGS=path)
        self.gateways[i] = self.spawn(
            [GATEWAY, "gateway", "--metrics-port", str(self.base + 7)],
            f"gateway-{i}", env)

    def wait_ready(self, i, limit=15):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            try:
                url = f"http://{self.hosts[i]}:{self.base + 1}/readiness"
                with urllib.request.urlopen(url, timeout=1) as got:
                    if got.status == 200:
                        return
            except OSError:
                pass
            time.sleep(0.05)
        raise RuntimeError(f"gateway {i} isn't ready")

    # Clients

    def note(self, what, **fields):
        with self.lock:
            self.record.append({"at_ms": now_ms(), "what": what, **fields})

    async def request(self, gateway, path, prompt, body, deadline_ms=15000,
                      request=None, key=KEY):
        """One client attempt. Returns the status (0: closed without an answer)
        and whether the answer was whole."""
        request = request or f"{random.getrandbits(64):016x}"
        status, whole = 0, False
        writer = None
        try:
            reader, writer = await asyncio.open_connection(
                self.hosts[gateway], self.base)
            head = [f"POST {path} HTTP/1.1", "Host: pule25.example",
                    f"Request-Id: {request}", f"Deadline-Ms: {deadline_ms}",
                    f"X-Api-Key: {key}", f"Content-Length: {len(body)}"]
            if prompt:
                tokens = sum(int(p.split(":")[1]) for p in prompt.split(","))
                head += ["Model: m1", f"Token-Counts: {tokens},76",
                         f"Prompt-Prefix: {prompt}"]
            writer.write("\r\n".join(head).encode() + b"\r\n\r\n" +
                         body.encode())
            status, whole = await asyncio.wait_for(
                self.read_answer(reader), deadline_ms / 1000)
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError,
                ValueError):
            pass
        finally:
            if writer is not None:
                writer.close()
        return request, status, whole

    async def read_answer(self, reader):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
        status = int(head.split(" ")[1])
        try:
            if "transfer-encoding: chunked" in head:
                while True:
                    size = int(await reader.readline(), 16)
                    await reader.readexactly(size + 2)
                    if not size:
                        return status, True
            for line in head.split("\r\n"):
                if line.startswith("content-length:"):
                    await reader.readexactly(int(line.split(":")[1]))
                    return status, True
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        return status, False

    # The record

    def replica_lines(self):
        with open(self.replica_log) as lines:
            return [json.loads(line) for line in lines]

    def write_record(self, verdict):
        lines = self.record + [dict(line) for line in self.replica_lines()]
        lines.sort(key=lambda line: line["at_ms"])
        with open(os.path.join(self.case_dir, "record.txt"), "w") as out:
            for line in verdict:
                out.write(line + "\n")
            for line in lines:
                out.write(json.dumps(line) + "\n")
