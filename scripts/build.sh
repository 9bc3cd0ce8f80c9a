#!/usr/bin/env bash
# Configures and builds everything in build/, or in the folder named by BUILD_DIR.
set -euo pipefail
cd "$(dirname "$0")/.."
build_dir="${BUILD_DIR:-build}"
cmake -S . -B "$build_dir" -G Ninja -DDANDELION_WERROR=ON >/dev/null
cmake --build "$build_dir" -- ${BUILD_JOBS:+-j "$BUILD_JOBS"}
