#!/usr/bin/env bash
# Checks the stand-ins and the scripts of cases 11 to 15, after the build of the deploy file. They need no build.
set -euo pipefail
cd "$(dirname "$0")"
[ -f ../target/sequoiaquay-node.mjs ] || { echo 'target/ holds no node: run the build of the deploy file first' >&2; exit 1; }
for file in support-3/*.mjs 1[1-5]/*.mjs; do
  if [ -f "$file" ]; then
    node --check "$file"
  fi
done
echo 'stand-ins checked'
