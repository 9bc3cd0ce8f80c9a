#!/usr/bin/env bash
# Runs clang-tidy over every source file, or over those named as arguments; see lint.py.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 scripts/lint.py "$@"
