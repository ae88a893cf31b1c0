"""What the cases of a request that crashes its replicas share."""
import asyncio
import collections
import random

from cluster import Cluster

GATEWAYS = 5
ENGINES = 8
CRASH_BODY = "the dossier that crashes its replica"
# All requests share the first part.
SHARED_PART = "5c1e07a2:9122"
CRASH_PROMPT = SHARED_PART + ",badc0de1:2870"
SOUND_INTERVAL_S = 0.3
STABLE_WINDOW_MS = 3000
MOST_LATE = 3
SPREAD_S = 0.05
# 11,992 tokens at 112 a ms.
PREFILL_MS = 107


class CrashCase:
    gateways = GATEWAYS
    engines = ENGINES
    plain = 0
    path = "/review/2f"
    shared_part = SHARED_PART
    crash_prompt = CRASH_PROMPT
    # At each gateway.
    sound_interval_s = SOUND_INTERVAL_S
    first_ms = PREFILL_MS

    def __init__(self, case_dir, crashes):
        flags = ["--first-ms", str(self.first_ms), "--events", "10",
                 "--gap-ms", "50"]
        if crashes:
            flags += ["--crash-body", CRASH_BODY]
        self.cluster = Cluster(case_dir, self.gateways, self.engines,
                               plain=self.plain, replica_flags=flags)
        self.sound = collections.Counter()

    async def send_sound(self, gateway):
        prompt = ""
        if self.shared_part:
            prompt = f"{self.shared_part},{random.getrandbits(32):08x}:2870"
        _, status, whole = await self.cluster.request(
            gateway, self.path, prompt, "a sound dossier")
        self.sound[f"{status}" if whole or not status else
                   f"{status} cut"] += 1

    async def sound_traffic(self):
        tasks = set()
        try:
            while True:
                for gateway in range(self.gateways):
                    task = asyncio.create_task(self.send_sound(gateway))
                    tasks.add(task)
                    task.add_done_callback(tasks.discard)
                    await asyncio.sleep(self.sound_interval_s / self.gateways)
        finally:
            for task in tasks:
                task.cancel()

    async def play_with_sound(self, play):
        sound = asyncio.create_task(self.sound_traffic())
        await asyncio.sleep(2)
        await play(self)
        sound.cancel()
        await asyncio.gather(sound, return_exceptions=True)

    async def send(self, gateway):
        self.cluster.note("client sends the request", gateway=gateway)
        request, status, whole = await self.cluster.request(
            gateway, self.path, self.crash_prompt, CRASH_BODY)
        self.cluster.note("client has an answer", gateway=gateway,
                          request=request, status=status, whole=whole)

    async def send_at_each(self):
        """Clients at all gateways send the request, SPREAD_S apart in all."""
        async def later(gateway):
            await asyncio.sleep(SPREAD_S * gateway / self.gateways)
            await self.send(gateway)
        await asyncio.gather(*(later(i) for i in range(self.gateways)))

    def run(self, play):
        """Plays and judges. Returns the exit status of the script."""
        try:
            self.cluster.start()
            asyncio.run(self.play_with_sound(play))
        except Exception as error:  # pylint: disable=broad-except
            print("could not run:", error)
            return 2
        finally:
            self.cluster.stop()
        lines = self.cluster.replica_lines()
        crashes = [one["at_ms"] for one in lines if one["what"] == "crash"]
        arrivals = [one["at_ms"] for one in lines
                    if one["what"] == "arrival" and one["body"] == CRASH_BODY]
        late = []
        if len(crashes) >= 3:
            bound = crashes[2] + STABLE_WINDOW_MS
            late = [at - crashes[2] for at in arrivals if at > bound]
        broken = len(late) > MOST_LATE
        verdict = [
            f"replicas crashed: {len(crashes)}; arrivals of the request: "
            f"{len(arrivals)}; later than {STABLE_WINDOW_MS} ms after the "
            f"third crash: {len(late)} (allowed: {MOST_LATE})",
            f"these arrivals, in ms after the third crash: {late}",
            f"other requests, by status: {dict(self.sound)}",
            "rule BUDGET: " + ("broken" if broken else "held")]
        self.cluster.write_record(verdict)
        print("\n".join(verdict))
        return 1 if broken else 0
