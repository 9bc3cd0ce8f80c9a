#!/usr/bin/env bash
# Builds the fuzz targets with clang and runs each for a fixed number of inputs from a fixed seed.
# Usage: fuzz.sh [RUNS [SEED]]
set -euo pipefail
cd "$(dirname "$0")/.."
runs="${1:-20000}" seed="${2:-1}"
build_dir="${FUZZ_BUILD_DIR:-build-fuzz}"
cmake -S . -B "$build_dir" -G Ninja -DCMAKE_CXX_COMPILER=clang++ -DDANDELION_FUZZ=ON >/dev/null
cmake --build "$build_dir" --target \
  fuzz_document fuzz_publish fuzz_snapshot fuzz_envelope fuzz_settings -- ${BUILD_JOBS:+-j "$BUILD_JOBS"}
found="$(mktemp -d)"
trap 'rm -rf "$found"' EXIT
for target in document publish snapshot envelope settings; do
  echo "fuzz $target: runs=$runs seed=$seed"
  mkdir "$found/$target"
  "$build_dir/bin/fuzz_$target" -runs="$runs" -seed="$seed" -max_len=4096 -timeout=5 -rss_limit_mb=1024 \
    -artifact_prefix="$build_dir/" -print_final_stats=1 -verbosity=0 "$found/$target" "tests/fuzz/corpus/$target" 2>&1 |
    grep -v 'WARNING: Failed to find function\|libprotobuf ERROR'
done
