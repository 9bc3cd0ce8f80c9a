#!/usr/bin/env bash
# Runs a whole fleet on this machine: 18 daemons in 3 regions and 6 failure domains, a publish, calls, a drain,
# a 64 MB download through another region, status and load reports. Writes the reports to demo-output/, or to the
# path named by DEMO_OUTPUT.
set -euo pipefail
cd "$(dirname "$0")/.."
build_dir="${BUILD_DIR:-build}"
output="${DEMO_OUTPUT:-demo-output}"
scripts/install_dependencies.sh
scripts/build.sh
rm -rf "$output"
status=0
"$build_dir/bin/dandelion-experiment" demo --user "${DEMO_USER:-zafukreis}" --output "$output" || status=$?
# The settings and logs of the processes are kept only after a failure.
[ "$status" -ne 0 ] || rm -rf "$output/processes"
echo "Reports: $output/*/report.txt, latency.svg, rates.svg"
exit "$status"
