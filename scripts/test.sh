#!/usr/bin/env bash
# Installs what is needed, builds, and runs every test.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install_dependencies.sh
scripts/build.sh
python3 scripts/run_tests.py "${BUILD_DIR:-build}"
