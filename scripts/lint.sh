#!/usr/bin/env bash
# Runs clang-tidy over every source file, or over those named as arguments.
set -euo pipefail
cd "$(dirname "$0")/.."
build_dir="${BUILD_DIR:-build}"
if [ $# -gt 0 ]; then
  files=("$@")
else
  mapfile -t files < <(git ls-files -co --exclude-standard '*.cpp' | grep -v '/generated/')
fi
printf '%s\n' "${files[@]}" |
  xargs -P "${LINT_JOBS:-10}" -n 2 clang-tidy --quiet -p "$build_dir" 2> >(grep -v 'warnings generated\|Suppressed\|Use -header-filter' >&2)
