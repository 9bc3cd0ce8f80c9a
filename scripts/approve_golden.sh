#!/usr/bin/env bash
# Rewrites the golden files of one test program, given by its ctest name. Review the diff.
set -euo pipefail
cd "$(dirname "$0")/.."
DANDELION_APPROVE=1 "${BUILD_DIR:-build}/bin/${1}_tests" "[golden]"
git diff --stat -- tests/golden
