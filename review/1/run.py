"""Replicas that are full reject requests, and some of their answers come a
second time, late."""
import asyncio
import collections
import os
import random
import sys
import time

CASE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(CASE), "lib"))
from cluster import Cluster  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
GATEWAYS = 7
# Slots and work of booking-desk on hlsamlag; one of its three replicas is away.
REPLICAS = 2
SLOTS = 6
WORK_MS = 15
# The site's garble with `extra late` has share 0.6 (here a half) and x 0.03.
GARBLED = 1
EXTRA_SHARE = 0.03
CLIENTS = 70
PLAY_S = 80
REFUSALS = (429, 503, 408, 421)


async def client(cluster, number, end, answers):
    while time.monotonic() < end:
        request = f"{random.getrandbits(64):016x}"
        answers[request] = 0
        _, status, _ = await cluster.request(
            number % GATEWAYS, "/book/2f", "", "a slot", 2000, request)
        answers[request] = status
        await asyncio.sleep(0.05 if status == 200 else 0.1)


async def play(cluster):
    answers = {}
    end = time.monotonic() + PLAY_S
    await asyncio.gather(*(client(cluster, i, end, answers)
                           for i in range(CLIENTS)))
    await asyncio.sleep(1)
    return answers


def write_record(verdict, lines, answers, runs, affected):
    """Replaces the common record, which would have a line for each event."""
    with open(os.path.join(CASE, "record.txt"), "w") as out:
        out.write("\n".join(verdict) + "\n\nThe requests that are affected:\n")
        for one in lines:
            if one.get("request") in affected:
                out.write(f"{one}\n")
        out.write("\nAll requests: id, status of the answer, runs\n")
        for request, status in answers.items():
            out.write(f"{request} {status} {runs[request]}\n")


def main():
    cluster = Cluster(CASE, GATEWAYS, 1, plain=REPLICAS, plain_slots=SLOTS,
                      garbled=GARBLED if TROUBLE else 0, extra_late=EXTRA_SHARE,
                      replica_flags=["--first-ms", str(WORK_MS)])
    try:
        cluster.start()
        answers = asyncio.run(play(cluster))
    except Exception as error:  # pylint: disable=broad-except
        print("could not run:", error)
        return 2
    finally:
        cluster.stop()
    lines = cluster.replica_lines()
    runs = collections.Counter(one["request"] for one in lines
                               if one["what"] == "run")
    what = collections.Counter(one["what"] for one in lines)
    twice = [request for request, count in runs.items() if count > 1]
    refused = [request for request, status in answers.items()
               if status in REFUSALS and request in runs]
    extra = {one["request"] for one in lines if one["what"] == "extra answer"}
    verdict = [
        f"unsafe requests: {len(answers)}, by status: "
        f"{dict(collections.Counter(answers.values()))}",
        f"rejected by replicas: {what['rejected']}; answers that came a second "
        f"time: {what['extra answer']}",
        f"ran twice: {len(twice)} {twice[:5]}",
        f"answered 503 and ran: {len(refused)} {refused[:5]}",
        "of these with an answer that came a second time: "
        f"{len(extra & {*twice, *refused})}",
        "rule TWICE: " + ("broken" if twice else "held"),
        "rule REFUSED: " + ("broken" if refused else "held")]
    write_record(verdict, lines, answers, runs, {*twice, *refused})
    print("\n".join(verdict))
    return 1 if twice or refused else 0


sys.exit(main())
