#!/usr/bin/env bash
# Runs every benchmark and prints lines "name value unit": bench.sh BUILD.
set -euo pipefail
build=$1
for bench in "$build"/benchmarks/*_benchmark; do
  [ -x "$bench" ] || continue
  "$bench" --benchmark_format=csv 2>/dev/null |
    awk -F, 'NR > 1 && $1 !~ /^name/ { gsub(/"/, "", $1);
      print $1, $4, $5 }'
done
for driver in "$build"/benchmarks/*_driver; do
  [ -x "$driver" ] || continue
  "$driver"
done
