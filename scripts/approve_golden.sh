#!/usr/bin/env bash
# Rewrites the golden sessions of one test program (the name that ctest knows); review the diff.
set -euo pipefail
cd "$(dirname "$0")/.."
DANDELION_APPROVE=1 "${BUILD_DIR:-build}/bin/${1}_tests" "[golden]"
git diff --stat -- tests/golden
