#!/usr/bin/env bash
# Runs clang-tidy over the sources of a build directory: lint.sh BUILD JOBS.
set -euo pipefail
build=$1
jobs=$2
git ls-files "*.cc" | grep -v '^cmake/' |
  xargs -P "$jobs" -n 4 clang-tidy -quiet -p "$build" 2>/dev/null
echo "lint: clean"
