#!/usr/bin/env bash
# Installs from the build folder $1, builds the example source $2 against the installed package and
# compares its output with that of the example program $3 from the build folder.
set -euo pipefail
build_dir="$1" example_source="$2" example_program="$3"
here="$(cd "$(dirname "$0")" && pwd)"
work="$(mktemp -d)"
trap 'rm -rf "$work"' EXIT
cmake --install "$build_dir" --prefix "$work/installed" >/dev/null
cmake -S "$here/consumer" -B "$work/consumer" -G Ninja -DCMAKE_PREFIX_PATH="$work/installed" \
  -DEXAMPLE_SOURCE="$example_source" >/dev/null
cmake --build "$work/consumer" -- -j 1 >/dev/null
"$work/consumer/consumer" >"$work/printed"
"$example_program" | cmp - "$work/printed"
"$work/installed/bin/dandelionctl" validate "$work/printed"
