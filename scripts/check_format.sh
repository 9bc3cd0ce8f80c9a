#!/usr/bin/env bash
# Checks the formatting of every source file; --fix reformats the files.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(git ls-files -co --exclude-standard '*.h' '*.cpp' | grep -v '/generated/')
[ ${#files[@]} -gt 0 ] || exit 0
if [ "${1:-}" = "--fix" ]; then
  clang-format -i "${files[@]}"
else
  clang-format --dry-run --Werror "${files[@]}"
fi
