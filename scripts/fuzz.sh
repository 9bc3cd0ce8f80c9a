#!/usr/bin/env bash
# Builds the fuzzers with Clang's sanitizers and runs each for a bounded number of inputs from a fixed seed.
# FUZZ_RUNS sets the number of inputs; FUZZ_SEED the seed.
set -euo pipefail
cd "$(dirname "$0")/.."
build_dir="${FUZZ_BUILD_DIR:-build/fuzz}"
sanitizers="-fsanitize=fuzzer-no-link,address,undefined -fno-sanitize-recover=all"
cmake -S . -B "$build_dir" -G Ninja -DCMAKE_CXX_COMPILER=clang++ -DDANDELION_FUZZ=ON \
  -DCMAKE_BUILD_TYPE=RelWithDebInfo -DCMAKE_CXX_FLAGS="$sanitizers" >/dev/null
cmake --build "$build_dir" --target fuzzers -- ${BUILD_JOBS:+-j "$BUILD_JOBS"}
for corpus in tests/fuzz/corpus/*; do
  name="$(basename "$corpus")"
  found="$build_dir/found/$name"
  rm -rf "$found"
  mkdir -p "$found"
  echo "fuzz $name"
  "$build_dir/bin/fuzz_$name" -runs="${FUZZ_RUNS:-20000}" -seed="${FUZZ_SEED:-1}" -max_len=4096 -timeout=20 \
    -verbosity=0 -print_final_stats=1 -artifact_prefix="$found/" "$found" "$corpus" 2>"$found.log" ||
    { cat "$found.log"; exit 1; }
  grep -a 'number_of_executed_units\|peak_rss_mb' "$found.log"
done
