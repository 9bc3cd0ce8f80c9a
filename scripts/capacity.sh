#!/usr/bin/env bash
# Runs the convergence, calls and capacity experiments in their short form (each under a minute) and prints the
# tables, with the slopes of the capacity experiment; --full runs the long form.
# The tables, CSV files and plots are written to capacity-output/, or to the folder named by CAPACITY_OUTPUT.
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
