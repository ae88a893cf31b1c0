"""A store restarts quickly, behind forwarded events; see claim.txt."""

import os
import random
import socket
import struct
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-2"))

import deployment as d  # noqa: E402

MODEL = "daka510000"
KEY = "jnbanfqasnmgkcuyj8pj"
# More than read a store's events (max_concurrent).
GATEWAYS = 14
MAX_CONCURRENT = 12
ENGINES = 4
CALLERS = 2 * GATEWAYS
SESSIONS = 12
# The mean of the part that a permit-classify shares with others of its session.
PART_TOKENS = 1520
# From the sheet and the site file of hlsamlag: prefill, the store's link,
# first_ms and events_lag_ms.
PREFILL_S = PART_TOKENS / 112 / 1000
WRITE_S = PART_TOKENS * 18432 * 8 / 66e9 + 0.006
EVENTS_LAG_S = 0.06
RESTARTS = 24
DOWN_S = 0.3
BETWEEN_S = 2.5


class Store:
    """A managed store: reports a part when it is complete."""

    def __init__(self, host, record):
        self._record = record
        self._lock = threading.Condition()
        self._waiting = 0
        self._connections = set()
        self.epoch = 1000
        self._start_empty()
        self._host = host
        self._listener = None
        self.address = f"{host}:8006"
        self._listen()

    def _start_empty(self):
        self.epoch += 1
        self.parts = {}
        self._events = []

    def _listen(self):
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((self._host, 8006))
        listener.listen(128)
        self._listener = listener
        threading.Thread(target=self._accept, args=(listener,),
                         daemon=True).start()

    def _accept(self, listener):
        while True:
            try:
                sock, peer = listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(sock, peer),
                             daemon=True).start()

    def _serve(self, sock, peer):
        connection = d.Connection(sock, peer)
        self._connections.add(sock)
        try:
            while True:
                self._handle(connection.read_request())
        except (ConnectionError, OSError, ValueError):
            pass
        finally:
            self._connections.discard(sock)
            sock.close()

    def _handle(self, request):
        if request.path == "/kv-events":
            self._on_events(request)
        elif request.path == "/kv-list":
            with self._lock:
                held = [[salt, part, PART_TOKENS, MODEL]
                        for (salt, part), whole in self.parts.items() if whole]
                body = {"epoch": self.epoch, "held": held,
                        "next_page_token": len(self._events)}
            request.connection.reply(200, body=body)
        else:
            request.connection.reply(404)

    def _on_events(self, request):
        since = int(request.query.get("since", "0"))
        until = d.now() + int(request.field("Wait-Ms", "0")) / 1000
        with self._lock:
            if self._waiting >= MAX_CONCURRENT:
                request.connection.reply(429)
                return
            self._waiting += 1
            epoch = self.epoch
            # A number from before a restart is answered at once.
            while (since == len(self._events) and d.now() < until
                   and epoch == self.epoch):
                self._lock.wait(until - d.now())
            self._waiting -= 1
            known = since <= len(self._events)
            events = self._events[since:] if known else list(self._events)
            body = {"epoch": self.epoch, "lost": False, "events": events,
                    "next_page_token": len(self._events),
                    "clock_ms": int(time.time() * 1000)}
        request.connection.reply(200, body=body)

    def save(self, salt, part):
        with self._lock:
            if self._listener is None or (salt, part) in self.parts:
                return
            self.parts[salt, part] = False
            epoch = self.epoch
        self._record.write("save_begins", part=part)
        timer = threading.Timer(WRITE_S, self._on_written, (epoch, salt, part))
        timer.daemon = True
        timer.start()

    def _on_written(self, epoch, salt, part):
        with self._lock:
            if epoch != self.epoch:
                return
            self.parts[salt, part] = True
        self._record.write("save_ends", part=part)
        timer = threading.Timer(EVENTS_LAG_S, self._tell, (epoch, salt, part))
        timer.daemon = True
        timer.start()

    def _tell(self, epoch, salt, part):
        with self._lock:
            if epoch != self.epoch:
                return
            self._events.append([len(self._events) + 1, "+", salt, part,
                                 PART_TOKENS, MODEL])
            self._lock.notify_all()

    def state_of(self, salt, part):
        """Returns "whole", "being written" or "missing"."""
        with self._lock:
            whole = self.parts.get((salt, part))
        if whole is None:
            return "missing"
        return "whole" if whole else "being written"

    def restart(self):
        """Ends like a process, and is back with nothing after DOWN_S."""
        listener, self._listener = self._listener, None
        listener.shutdown(socket.SHUT_RDWR)
        listener.close()
        with self._lock:
            self._start_empty()
            self._lock.notify_all()
        for sock in list(self._connections):
            try:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                struct.pack("ii", 1, 0))
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
        time.sleep(DOWN_S)
        self._listen()


class Engine(d.Replica):
    """Keeps no part itself: its memory is taken by what it runs."""

    store = None
    mixed = []

    def serve(self, request):
        expected = request.field("Expect-Version")
        if expected and expected != str(self.version):
            request.connection.reply(421, self.stamp(request))
            return
        salt = request.field("Cache-Salt")
        part = request.field("Prompt-Prefix").split(",")[0].split(":")[0]
        fetched = "-"
        if request.field("Kv-Fetch-From").startswith(Engine.store.address):
            fetched = Engine.store.state_of(salt, part)
        if fetched == "being written":
            Engine.mixed.append(request.field("Request-Id"))
            self.record.write("MIXED", request=request.field("Request-Id"),
                              part=part)
        if fetched in ("-", "missing"):
            time.sleep(PREFILL_S)
        self.record.write("run", request=request.field("Request-Id"),
                          part=part, from_store=fetched)
        if request.field("Kv-Save-To").startswith(Engine.store.address):
            Engine.store.save(salt, part)
        event = b"id: 1\ndata: token\n\n"
        request.connection.reply(200, [
            *self.stamp(request), ("Content-Type", "text/event-stream"),
            ("Weight-Versions", str(self.version))], event)


def run_caller(deployment, number, until, served):
    gateway = deployment.gateways[number % GATEWAYS]
    source = random.Random(number)
    turn = 0
    while d.now() < until[0]:
        turn += 1
        session = source.randrange(SESSIONS)
        fields = [("Request-Id", f"9c41{number:04x}{turn:06x}"),
                  ("Model", MODEL), ("Token-Counts", f"{PART_TOKENS + 200},5"),
                  ("Prompt-Prefix", f"{0x5c1e0000 + session:08x}:{PART_TOKENS},"
                                    f"{number:04x}{turn:06x}:200"),
                  ("Deadline-Ms", "3000"), ("X-Api-Key", KEY)]
        answer = d.call(gateway.ip, 8005, "POST", "/cufi501/2f", fields,
                        b"x" * 800)
        if answer is not None and answer.status == 200:
            served.append(number)
        time.sleep(0.05)


def run(trouble, record):
    deployment = d.Deployment(GATEWAYS)
    try:
        store = Store(deployment.host(30), record)
        Engine.store = store
        for number in range(ENGINES):
            Engine(deployment, 10 + number, "huvo11a", 128, record, MODEL)
        deployment.put_config({
            "version": 7,
            "routes": [d.route("r-2xp4zhp", "/cufi501/", "streaming",
                               "huvo11a", 3000, 1200, 2, resumable=True)],
            "services": [
                d.engine_service("huvo11a", MODEL),
                {"name": "ficu72g", "kv_store_address": store.address,
                 "zone": "hall-esja", "kv_cache_tokens": 2390847,
                 "link_mbps": 66000.0, "max_concurrent": MAX_CONCURRENT,
                 "managed": True, "first_ms": 6.0}],
            "limits": d.LIMITS,
            "tenants": [{"name": "bozi300", "api_keys": [KEY],
                         "priority": 1}]})
        if not deployment.start(endpoints=ENGINES, limit_s=40):
            record.write("not_ready")
            return 2
        # The gateways have found each other and their parts in reading events.
        time.sleep(4)
        until = [d.now() + 100]
        served = []
        threads = [threading.Thread(target=run_caller, args=(
            deployment, number, until, served)) for number in range(CALLERS)]
        for thread in threads:
            thread.start()
        time.sleep(3)
        for _ in range(RESTARTS):
            if trouble:
                record.write("store_restarts", after=DOWN_S)
                store.restart()
            else:
                time.sleep(DOWN_S)
            time.sleep(BETWEEN_S - DOWN_S)
        until[0] = d.now()
        for thread in threads:
            thread.join()
        record.write("verdict", served=len(served),
                     requests_that_read_a_part_being_written=len(Engine.mixed))
        if not served:
            return 2
        return 1 if Engine.mixed else 0
    finally:
        deployment.stop()


if __name__ == "__main__":
    sys.exit(run(os.environ.get("TROUBLE", "1") != "0", d.Record(FOLDER)))
