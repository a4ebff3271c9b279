#!/usr/bin/env bash
# The stand-ins of the cases are plain programs for Node.js without dependencies; this checks that they can be read.
set -eu
cd "$(dirname "$0")"
for program in support/*.mjs */case.mjs; do
  node --check "$program"
done
