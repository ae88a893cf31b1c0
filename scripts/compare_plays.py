#!/usr/bin/env python3
"""Plays the same days on two checkouts and prints the differences.

    scripts/compare_plays.py BENCH BEFORE AFTER --site SITE... --day DAY... \
        --seed SEED... [--jobs 3]

BENCH is the bench program, BEFORE and AFTER are checkouts in which it may build
(clones beside this one, so that relative paths of sites hold). Each pair has
the same site, day and seed. Prints `worth` of each play and, for each site, the
mean difference and its spread (standard deviation of the pairs). Processor time
isn't counted, so that a play mostly repeats. Plays leave their entries in the
journal of their checkout.

Exit code: 0 if every play had a result, 1 otherwise.
"""

import argparse
import concurrent.futures
import itertools
import re
import statistics
import subprocess
import sys

PLAY_TIMEOUT_S = 1800
# A row of the bench's table: day, machines, score, worth.
ROW = re.compile(r"^(\S+)\s+\d+/\d+\s+[\d.]+\s+(-?[\d.]+)\s.*$", re.M)
BROKEN = re.compile(r"BROKEN: (.*?)(?: \(else.*)?$", re.M)


def play(bench, checkout, site, day, seed, why):
    """Returns (worth, broken rules), or (None, the reason)."""
    command = [bench, "run", site, day, "--seed", str(seed), "--no-cpu",
               "--jobs", "1", "--why", why]
    try:
        done = subprocess.run(command, cwd=checkout, capture_output=True,
                              text=True, timeout=PLAY_TIMEOUT_S, check=False)
    except subprocess.TimeoutExpired:
        return None, "timeout"
    row = ROW.search(done.stdout)
    if row is None:
        return None, (done.stdout + done.stderr)[-200:]
    broken = BROKEN.search(done.stdout)
    return float(row.group(2)), broken.group(1) if broken else ""


def parse_arguments():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("bench")
    parser.add_argument("before")
    parser.add_argument("after")
    parser.add_argument("--site", nargs="+", required=True)
    parser.add_argument("--day", nargs="+", required=True)
    parser.add_argument("--seed", nargs="+", type=int, required=True)
    parser.add_argument("--jobs", type=int, default=3)
    return parser.parse_args()


def main():
    arguments = parse_arguments()
    cases = list(itertools.product(arguments.site, arguments.day,
                                   arguments.seed))
    plays = [(checkout, *case) for case in cases
             for checkout in (arguments.before, arguments.after)]
    with concurrent.futures.ThreadPoolExecutor(arguments.jobs) as pool:
        results = dict(zip(plays, pool.map(
            lambda one: play(arguments.bench, *one, why="pair"), plays)))
    complete = True
    for site in arguments.site:
        differences = []
        for case in cases:
            if case[0] != site:
                continue
            before = results[(arguments.before, *case)]
            after = results[(arguments.after, *case)]
            print(*case, before, after)
            if before[0] is None or after[0] is None:
                complete = False
                continue
            differences.append(after[0] - before[0])
        if differences:
            spread = (statistics.stdev(differences)
                      if len(differences) > 1 else float("nan"))
            print(f"{site}: {statistics.mean(differences):+.3f} "
                  f"+- {spread:.3f} ({len(differences)} pairs)")
    return 0 if complete else 1


if __name__ == "__main__":
    sys.exit(main())
