#!/usr/bin/env bash
# Installs the dependencies, builds everything and runs all tests.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install_dependencies.sh
scripts/build.sh
python3 scripts/run_tests.py "${BUILD_DIR:-build}"
