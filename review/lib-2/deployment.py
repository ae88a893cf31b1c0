"""A small deployment on loopback for the cases of the second review.

The gateways are the project's own program, started with the command of the
deploy file, one process for each machine. The platform's metadata store, the
replicas and the clients are stand-ins that follow PROTOCOL.md. All of them run
in this process, in threads, on the real clock.
"""

import base64
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time

REPOSITORY = os.path.dirname(
    os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HOST_NAME = "pule25.example"
HEARTBEAT_S = 1.2


def now():
    """Seconds on the steady clock."""
    return time.monotonic()


class Record:
    """Writes record.txt: what was sent, answered and run, with times."""

    def __init__(self, folder):
        self._file = open(os.path.join(folder, "record.txt"), "w",
                          encoding="utf-8")
        self._lock = threading.Lock()
        self._start = now()

    def write(self, event, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        with self._lock:
            self._file.write(f"{now() - self._start:8.3f} {event} {text}\n")
            self._file.flush()


# ---------------------------------------------------------------- HTTP server


class Request:
    def __init__(self, method, target, fields, body, connection):
        self.method = method
        self.target = target
        self.fields = fields
        self.body = body
        self.connection = connection

    @property
    def path(self):
        return self.target.split("?", 1)[0]

    @property
    def query(self):
        values = {}
        if "?" in self.target:
            for item in self.target.split("?", 1)[1].split("&"):
                name, _, value = item.partition("=")
                values[name] = value
        return values

    def field(self, name, default=""):
        for key, value in self.fields:
            if key.lower() == name.lower():
                return value
        return default


class Connection:
    """One accepted connection of a stand-in."""

    def __init__(self, sock, peer):
        self.sock = sock
        self.peer = peer
        self._buffer = b""

    def _more(self):
        data = self.sock.recv(65536)
        if not data:
            raise ConnectionError("closed")
        self._buffer += data

    def read_request(self):
        while b"\r\n\r\n" not in self._buffer:
            self._more()
        head, self._buffer = self._buffer.split(b"\r\n\r\n", 1)
        lines = head.decode("latin-1").split("\r\n")
        method, target, _ = lines[0].split(" ", 2)
        fields = []
        for line in lines[1:]:
            name, _, value = line.partition(":")
            fields.append((name.strip(), value.strip()))
        request = Request(method, target, fields, b"", self)
        length = int(request.field("Content-Length", "0"))
        while len(self._buffer) < length:
            self._more()
        request.body = self._buffer[:length]
        self._buffer = self._buffer[length:]
        return request

    def send(self, data):
        self.sock.sendall(data)

    def reply(self, status, fields=(), body=b"", reason="Status"):
        if isinstance(body, (dict, list)):
            body = json.dumps(body).encode()
        head = f"HTTP/1.1 {status} {reason}\r\n"
        for name, value in fields:
            head += f"{name}: {value}\r\n"
        head += f"Content-Length: {len(body)}\r\n\r\n"
        self.send(head.encode("latin-1") + body)

    def peer_has_closed(self):
        self.sock.setblocking(False)
        try:
            return self.sock.recv(1, socket.MSG_PEEK) == b""
        except (BlockingIOError, InterruptedError):
            return False
        except OSError:
            return True
        finally:
            self.sock.setblocking(True)

    def close(self):
        try:
            self.sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.sock.close()

    def reset(self):
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                             struct.pack("ii", 1, 0))
        self.sock.close()


class Server:
    """Serves `handle(request)` on each connection, a thread a connection."""

    def __init__(self, host, handle, port=0):
        self._handle = handle
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind((host, port))
        self._listener.listen(512)
        self.host = host
        self.port = self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self):
        return f"{self.host}:{self.port}"

    def _accept(self):
        while True:
            try:
                sock, peer = self._listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve, args=(sock, peer),
                             daemon=True).start()

    def _serve(self, sock, peer):
        connection = Connection(sock, peer)
        try:
            while True:
                self._handle(connection.read_request())
        except (ConnectionError, OSError, ValueError):
            pass
        finally:
            sock.close()


# ------------------------------------------------------- the platform's store


class Store:
    """The platform's metadata store: a log with keyed topics."""

    def __init__(self, host):
        self._condition = threading.Condition()
        self._topics = {}
        # Returns the payload that the caller of this request reads.
        self.view = lambda request, topic, payload: payload
        self.server = Server(host, self.handle)

    def append(self, topic, payload):
        with self._condition:
            records = self._topics.setdefault(topic, [])
            records.append(payload)
            self._condition.notify_all()
            return len(records) - 1

    def put(self, topic, key, value):
        """Writes the record of a key; an empty value removes it."""
        if not isinstance(value, (str, bytes)):
            value = json.dumps(value)
        if isinstance(value, str):
            value = value.encode()
        name = key.encode()
        return self.append(topic, bytes([len(name)]) + name + value)

    def handle(self, request):
        query = request.query
        topic = query.get("topic", "")
        if request.path == "/log-append":
            self._on_append(request, topic)
        elif request.path == "/log-read":
            self._on_read(request, topic)
        elif request.path == "/log-newest":
            self._on_newest(request, topic)
        else:
            request.connection.reply(404)

    def _on_append(self, request, topic):
        body, payloads = request.body, []
        while body:
            length = struct.unpack(">I", body[:4])[0]
            payloads.append(body[4:4 + length])
            body = body[4 + length:]
        with self._condition:
            records = self._topics.setdefault(topic, [])
            at = request.query.get("at")
            if at is not None and int(at) != len(records):
                request.connection.reply(412, body={"end_offset": len(records)})
                return
            offset = len(records)
            records.extend(payloads)
            self._condition.notify_all()
        request.connection.reply(
            200, body={"offset": offset, "end_offset": offset + len(payloads)})

    def _on_read(self, request, topic):
        start = int(request.query.get("from", "0"))
        until = now() + int(request.query.get("wait_ms", "0")) / 1000
        with self._condition:
            while True:
                records = self._topics.get(topic, [])
                left = until - now()
                if len(records) > start or left <= 0:
                    break
                self._condition.wait(left)
            body = struct.pack(">QQ", len(records), 0)
            for payload in records[start:]:
                payload = self.view(request, topic, payload)
                body += struct.pack(">I", len(payload)) + payload
        request.connection.reply(200, body=body)

    def _on_newest(self, request, topic):
        newest = {}
        with self._condition:
            records = self._topics.get(topic, [])
            for offset, payload in enumerate(records):
                payload = self.view(request, topic, payload)
                length = payload[0]
                key = payload[1:1 + length].decode()
                value = payload[1 + length:]
                newest.pop(key, None)
                if value:
                    newest[key] = (value, offset)
            end = len(records)
        items = [{"key": key, "offset": offset,
                  "value": base64.b64encode(value).decode()}
                 for key, (value, offset) in sorted(newest.items())]
        request.connection.reply(
            200, body={"items": items, "has_more": False, "end_offset": end})


# -------------------------------------------------------------- configuration


def route(name, prefix, kind, service, timeout_ms, target_ms, attempts,
          resumable=False, **other):
    value = {"name": name, "host": HOST_NAME, "path_prefix": prefix,
             "kind": kind, "timeout_ms": timeout_ms,
             "target_latency_ms": target_ms, "priority": 1,
             "service": service, "attempts": attempts,
             "allow_anonymous": False,
             "sticky_sessions": kind == "streaming", "resumable": resumable,
             "target_gap_ms": 300 if kind == "streaming" else 0}
    value.update(other)
    return value


def engine_service(name, model):
    return {"name": name, "health_check_path": "/health",
            "connection_limit": 620, "protocol": "h1", "tls": False,
            "engine": {"slots": 128, "kv_cache_tokens": 213154,
                       "kv_token_bytes": 18432, "link_mbps": 370000.0,
                       "moves": True, "backups": True, "managed": True,
                       "stride": 5, "max_concurrent": 12, "pin_ms": 4000.0,
                       "hold_ms": 2000.0, "handle_s": 5.0,
                       "models": [{"name": model}]}}


def plain_service(name):
    return {"name": name, "health_check_path": "/health",
            "connection_limit": 100, "protocol": "h1", "tls": False}


LIMITS = {"max_header_bytes": 16384, "max_body_bytes": 4194304,
          "header_timeout_ms": 3000, "idle_timeout_ms": 15000}


# ------------------------------------------------------------------- gateways


SETTINGS = """node_name: "{name}"
role: "gateway"
machine_class: "front"
serves:
  - "front"
  - "directory"
  - "control"
ip: "{ip}"
zone: "hall-esja"
region: "reykjavik"
zones:
  hall-esja: "reykjavik"
  hall-hengill: "reykjavik"
  hall-keilir: "reykjavik"
listen_addresses:
  front: "{ip}:8005"
  ready: "{ip}:8002"
  control: "{ip}:8000"
  directory: "{ip}:8009"
internal_port_range:
  - 7700
  - 7715
seeds:
{seeds}
first_start: true
tolerance_counted: false
limits:
  cpu_share: 0.25
  cores: 1
  memory_mb: {memory_mb}
  file_descriptors: 4100
  link_mbps: 1000.0
  disk_mb: 0
data_directory: null
discovery: "platform"
entry: "directory"
heartbeat_interval_ms: 1200
contracts: ["base", "drain", "config", "cost", "retry", "recover", "kvcache",
            "stream", "engine", "tenants", "platform"]
fault_tolerance:
  machines: 2
  zones: 0
  regions: 0
bounds:
  seed_lag_s: 3
  address_reuse_s: 2
  stable_window_ms: 3000
  ack_timeout_ms: 4000
  catch_up_s: 4
  drain_timeout_ms: 2000
  grace_period_s: 8
  loss_slack_ms: 200
  config_apply_ms: 2000
  rollback_slack_ms: 250
  max_stretch_ms: 5000
  strict_revocation: false
  revoke_timeout_ms: 5000
  retry_budget_ratio: 0.2
  budget_window_s: 10
  retry_budget_extra: 54
  recovery_s: 12
  propagation_ms: 120
  reuse_window_s: 20
  require_fencing: true
  lease_ms: 3000
  thaw_slack_ms: 300
  version_ms: 15000
  version_all_ms: 21000
  ttl_max_s: 5
platform:
  address: "{store}"
  form: "log"
  writes_per_s: 400
  reads_per_s: 2000
  parts: 12
  append_ms: 2.0
  partition_mb_s: 20.0
  read_mb_s: 80.0
  record_bytes: 262144
  call_bytes: 2097152
  keep_s: 300
  partition_mb: 200
  ttl_min_ms: 1000
"""


class Gateway:
    def __init__(self, deployment, index):
        self.ip = deployment.host(100 + index)
        self.name = f"front-hall-esja-{index + 1}"
        self._deployment = deployment
        self.process = None

    def has_socket(self, address):
        """Returns whether this end of a TCP connection is the gateway's."""
        host, port = address
        local = "".join(f"{int(part):02X}" for part in
                        reversed(host.split("."))) + f":{port:04X}"
        with open("/proc/net/tcp", encoding="ascii") as table:
            inodes = [line.split()[9] for line in table
                      if line.split()[1] == local]
        folder = f"/proc/{self.process.pid}/fd"
        for name in os.listdir(folder):
            try:
                link = os.readlink(os.path.join(folder, name))
            except OSError:
                continue
            if link in {f"socket:[{inode}]" for inode in inodes}:
                return True
        return False

    def start(self):
        deployment = self._deployment
        seeds = "\n".join(f'  - "{one.ip}:8000"'
                          for one in deployment.gateways[:3])
        path = os.path.join(deployment.folder, self.name + ".yaml")
        with open(path, "w", encoding="utf-8") as out:
            out.write(SETTINGS.format(name=self.name, ip=self.ip, seeds=seeds,
                                      store=deployment.store.server.address,
                                      memory_mb=deployment.memory_mb))
        log = open(os.path.join(deployment.folder, self.name + ".log"), "ab")
        self.process = subprocess.Popen(
            [os.path.join(REPOSITORY, "target/bin/carobshiftd"), "gateway",
             "--metrics-port", "9100"],
            cwd=REPOSITORY, stdout=log, stderr=log,
            env={"PATH": os.environ.get("PATH", ""), "LANG": "C",
                 "HOME": deployment.folder, "CAROBSHIFT_SETTINGS": path})

    def ready(self):
        answer = call(self.ip, 8002, "GET", "/readiness", timeout=1)
        return answer is not None and answer.status == 200

    def log(self):
        path = os.path.join(self._deployment.folder, self.name + ".log")
        with open(path, encoding="utf-8", errors="replace") as lines:
            return lines.read()


# -------------------------------------------------------------------- clients


class Answer:
    def __init__(self, status, fields, body, complete):
        self.status = status
        self.fields = fields
        self.body = body
        self.complete = complete

    def field(self, name):
        for key, value in self.fields:
            if key.lower() == name.lower():
                return value
        return None


def read_answer(sock):
    """Returns the answer on the connection, or None if there is none."""
    data = b""
    try:
        while b"\r\n\r\n" not in data:
            more = sock.recv(65536)
            if not more:
                return None
            data += more
    except OSError:
        return None
    head, data = data.split(b"\r\n\r\n", 1)
    lines = head.decode("latin-1").split("\r\n")
    status = int(lines[0].split(" ")[1])
    fields = [tuple(part.strip() for part in line.split(":", 1))
              for line in lines[1:]]
    answer = Answer(status, fields, b"", False)
    chunked = (answer.field("Transfer-Encoding") or "").lower() == "chunked"
    length = int(answer.field("Content-Length") or 0)
    try:
        if not chunked:
            while len(data) < length:
                more = sock.recv(65536)
                if not more:
                    break
                data += more
            answer.body = data[:length]
            answer.complete = len(data) >= length
            return answer
        while True:
            while b"\r\n" not in data:
                more = sock.recv(65536)
                if not more:
                    return answer
                data += more
            size, data = data.split(b"\r\n", 1)
            size = int(size, 16)
            while len(data) < size + 2:
                more = sock.recv(65536)
                if not more:
                    return answer
                data += more
            answer.body += data[:size]
            data = data[size + 2:]
            if size == 0:
                answer.complete = True
                return answer
    except OSError:
        return answer


def encode_request(method, target, fields, body=b""):
    text = f"{method} {target} HTTP/1.1\r\n"
    for name, value in fields:
        text += f"{name}: {value}\r\n"
    if body or method == "POST":
        text += f"Content-Length: {len(body)}\r\n"
    return (text + "\r\n").encode("latin-1") + body


def call(host, port, method, target, fields=(), body=b"", timeout=20):
    """Sends one request on a new connection; returns None without answer."""
    try:
        with socket.create_connection((host, port), timeout=1) as sock:
            sock.settimeout(timeout)
            sock.sendall(encode_request(method, target,
                                        [("Host", HOST_NAME), *fields], body))
            return read_answer(sock)
    except OSError:
        return None


# ----------------------------------------------------------------- deployment


class Deployment:
    """Holds all parts, and ends the processes that it started."""

    def __init__(self, gateways, memory_mb=260):
        self.folder = tempfile.mkdtemp(prefix="carobshift-review-")
        self.memory_mb = memory_mb
        self._block = random.randint(16, 250)
        self._net = random.randint(1, 250)
        self.store = Store(self.host(1))
        self.gateways = [Gateway(self, index) for index in range(gateways)]
        self.stopping = False

    def host(self, number):
        return f"127.{self._block}.{self._net}.{number}"

    def put_config(self, config):
        self.store.put("keyed.op", "config", config)

    def start(self, endpoints, limit_s=20):
        for gateway in self.gateways:
            gateway.start()
        until = now() + limit_s
        while now() < until:
            if all(self._is_up(one, endpoints) for one in self.gateways):
                return True
            time.sleep(0.2)
        return False

    def _is_up(self, gateway, endpoints):
        if not gateway.ready():
            return False
        answer = call(gateway.ip, 9100, "GET", "/debug/state", timeout=2)
        if answer is None or answer.status != 200:
            return False
        state = json.loads(answer.body)
        return (len(state.get("members", [])) == len(self.gateways)
                and len(state.get("endpoints", [])) >= endpoints)

    def stop(self):
        self.stopping = True
        for gateway in self.gateways:
            if gateway.process is not None:
                try:
                    gateway.process.send_signal(signal.SIGCONT)
                    gateway.process.kill()
                except OSError:
                    pass
                gateway.process.wait()
        if os.environ.get("KEEP"):
            print("kept", self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class Replica:
    """What all replicas have in common: the entry, health and reports."""

    def __init__(self, deployment, number, service, slots, record, model=None):
        self.id = f"i-{random.getrandbits(32):08x}"
        self.service = service
        self.slots = slots
        self.model = model
        self.version = 1
        self.deployment = deployment
        self.record = record
        self.born = int(time.time() * 1000)
        self._beats = 0
        self.server = Server(deployment.host(number), self._handle, port=8080)
        self.beat()
        threading.Thread(target=self._beat_on, daemon=True).start()

    def models(self):
        if self.model is None:
            return []
        return [{"name": self.model, "version": self.version, "adapters": []}]

    def beat(self):
        self._beats += 1
        entry = {"service": self.service, "address": self.server.address,
                 "zone": "hall-esja", "version": "v1", "slots": self.slots,
                 "state": "ready", "cold_remaining_ms": 0, "born": self.born,
                 "sequence": self._beats}
        if self.model is not None:
            entry["stage"] = "combined"
            entry["models"] = self.models()
        self.deployment.store.put("keyed.servers", self.id, entry)

    def _beat_on(self):
        while not self.deployment.stopping:
            time.sleep(HEARTBEAT_S)
            self.beat()

    def _handle(self, request):
        if request.path == "/health":
            request.connection.reply(200, [("Instance-Id", self.id)])
        elif request.path == "/report":
            request.connection.reply(200, body={
                "stage": "combined", "models": self.models(), "busy": False,
                "sequence": 0, "waiting": 0, "running": 0, "kv_cache_used": 0,
                "kv_cache_total": 213154, "handles": 0,
                "clock_ms": int(time.time() * 1000)})
        elif request.path == "/kv-events":
            self.on_events(request)
        elif request.path == "/kv-list":
            request.connection.reply(200, body={
                "epoch": 1, "next_page_token": 0, "held": []})
        elif request.field("Expect-Instance", self.id) != self.id:
            request.connection.reply(421, [
                ("Instance-Id", self.id),
                ("Request-Id", request.field("Request-Id"))])
        else:
            self.serve(request)

    def on_events(self, request):
        time.sleep(min(1.0, int(request.field("Wait-Ms", "0")) / 1000))
        request.connection.reply(200, body={
            "epoch": 1, "next_page_token": 0, "lost": False, "events": [],
            "clock_ms": int(time.time() * 1000)})

    def stamp(self, request):
        return [("Request-Id", request.field("Request-Id")),
                ("Instance-Id", self.id),
                ("Response-Stamp", f"{self.id}.{request.field('Request-Id')}")]

    def serve(self, request):
        raise NotImplementedError
