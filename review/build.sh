#!/bin/sh
# Builds what the scripts start besides the deploy file's program: the project's
# stand-in of the platform's store. The other stand-ins are Python and need no
# build.
set -e
cd "$(dirname "$0")/.."
cmake -S . -B build >/dev/null
cmake --build build -j"$(nproc)" --target standin_platform
