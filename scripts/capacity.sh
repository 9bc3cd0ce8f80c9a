#!/usr/bin/env bash
# Runs the short scale experiment (each part under a minute) and prints the slopes; with --full the long one.
# The output, CSV and plots go to capacity-output/ or the folder named by CAPACITY_OUTPUT.
set -euo pipefail
cd "$(dirname "$0")/.."
build_dir="${BUILD_DIR:-build}"
output="${CAPACITY_OUTPUT:-capacity-output}"
length=(--short)
[ "${1:-}" != "--full" ] || length=()
scripts/build.sh
for mode in convergence calls capacity; do
  echo "== $mode"
  "$build_dir/bin/dandelion-experiment" "$mode" ${length[@]+"${length[@]}"} --output "$output/$mode"
  rm -rf "$output/$mode/processes"
done
