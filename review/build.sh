#!/usr/bin/env bash
# Checks the stand-ins and the scripts of the cases. They are plain JavaScript, so
# nothing has to be compiled; the instances are the program of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.mjs [1-5]/*.mjs; do
  node --check "$file"
done
test -f ../target/galenaway-entry.mjs || echo "build the deploy file first" >&2
