#!/usr/bin/env python3
"""Runs ctest once and ignores only the failures of tests that KNOWN-RED.txt lists.

KNOWN-RED.txt holds one entry per line: `test | command | seed | seen | issue`, where `test` is the
ctest name and `seen` the observed failure. Listed tests are run too and printed with their result.
"""

import os
import re
import subprocess
import sys

KNOWN_RED = "KNOWN-RED.txt"


def known_red_tests():
    """Returns the names of the listed tests."""
    if not os.path.exists(KNOWN_RED):
        return set()
    with open(KNOWN_RED, encoding="utf-8") as listing:
        lines = [line.strip() for line in listing]
    return {line.split("|")[0].strip() for line in lines if line and not line.startswith("#")}


def main():
    build_dir = sys.argv[1]
    command = ["ctest", "--test-dir", build_dir, "--output-on-failure", "--timeout", "300"]
    command += ["-j", os.environ.get("TEST_JOBS", "4")] + sys.argv[2:]
    run = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    failed = set()
    for line in run.stdout:
        print(line, end="", flush=True)
        match = re.match(r"\s*\d+/\d+ Test\s+#\d+: (\S+) \.*\**(.*)", line)
        if match and "Passed" not in line:
            failed.add(match.group(1))
    code = run.wait()
    listed = known_red_tests()
    for name in sorted(listed):
        print(f"known red: {name}: {'failed' if name in failed else 'passed'}")
    if code != 0 and failed and failed <= listed:
        return 0
    return code


if __name__ == "__main__":
    sys.exit(main())
