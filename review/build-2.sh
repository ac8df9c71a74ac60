#!/usr/bin/env bash
# Builds the stand-ins of cases 4 and up: Python files that need no library.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m py_compile review/stage.py review/runners.py review/[4-8]/play.py
