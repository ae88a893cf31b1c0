#!/usr/bin/env bash
# Walks fresh seeds through every fuzz test: fuzz.sh BUILD SEEDS.
# Prints the command that replays a failure.
set -uo pipefail
build=$1
seeds=$2
status=0
first=${FIRST_SEED:-$(date +%s)}
for ((seed = first; seed < first + seeds; ++seed)); do
  for test in "$build"/tests/*_fuzz; do
    [ -x "$test" ] || continue
    if ! RC_PARAMS="seed=$seed max_success=${RUNS:-20}" "$test" \
      >"$build/fuzz.log" 2>&1; then
      tail -n 40 "$build/fuzz.log"
      echo "replay: RC_PARAMS=\"seed=$seed max_success=${RUNS:-20}\" $test"
      status=1
    fi
  done
done
echo "fuzz: seeds $first to $((first + seeds - 1)), exit $status"
exit $status
