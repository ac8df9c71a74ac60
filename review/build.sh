#!/usr/bin/env bash
# Builds what the scripts start. The stand-ins use Python's standard library alone, so
# this only checks that they compile. The relay itself is built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
out=$(mktemp -d)
trap 'rm -r "$out"' EXIT
for file in *.py [0-9]*/*.py; do
  python3 -c 'import py_compile, sys; py_compile.compile(sys.argv[1], sys.argv[2], doraise=True)' \
    "$file" "$out/x.pyc"
done
