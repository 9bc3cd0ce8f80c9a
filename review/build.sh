#!/usr/bin/env bash
# Nothing to compile: the stand-ins of the scripts are in review/lib and need only Python 3, which
# the project's own scripts use too. The daemon comes from the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -c 'import sys; sys.exit(sys.version_info < (3, 8))'
python3 -m py_compile review/lib/harness.py
rm -rf review/lib/__pycache__
[ -x target/bin/dandelion-daemon ] || echo 'target/bin/dandelion-daemon is missing: build as deploy/system.toml says' >&2
