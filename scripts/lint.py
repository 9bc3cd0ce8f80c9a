#!/usr/bin/env python3
"""Runs clang-tidy over every source file, or over those named as arguments.

A clean file is skipped until its preprocessed text, its compile command, the checks or clang-tidy
itself change. Stamp files in the user's cache folder record the clean files.
"""

import concurrent.futures
import hashlib
import json
import os
import pathlib
import shlex
import subprocess
import sys

BUILD_DIR = os.environ.get("BUILD_DIR", "build")
JOBS = int(os.environ.get("LINT_JOBS", str(os.cpu_count() or 1)))
CACHE_HOME = os.environ.get("XDG_CACHE_HOME", os.path.expanduser("~/.cache"))
STAMPS = pathlib.Path(CACHE_HOME) / "dandelionstand-lint"
NOISE = ("warnings generated", "Suppressed ", "Use -header-filter")


def tracked_sources():
    """Returns the project's source files, without generated ones."""
    command = ["git", "ls-files", "-co", "--exclude-standard", "*.cpp"]
    listing = subprocess.run(command, check=True, capture_output=True, text=True).stdout
    return [name for name in listing.split() if "/generated/" not in name]


def compile_commands():
    """Returns the compile commands by the real path of the file."""
    with open(os.path.join(BUILD_DIR, "compile_commands.json"), encoding="utf-8") as listing:
        return {os.path.realpath(entry["file"]): entry for entry in json.load(listing)}


def stamp_of(source, entry, common):
    """Returns the path of the stamp file for a source file in its current state."""
    words = shlex.split(entry["command"])
    words = [word for word in words if not word.endswith("ccache")]
    words[0] = "clang++"
    output = words.index("-o")
    words = words[:output] + words[output + 2 :] + ["-E", "-C", "-P", "-w"]
    text = subprocess.run(words, cwd=entry["directory"], check=True, capture_output=True).stdout
    digest = hashlib.sha256(common + source.encode() + text)
    return STAMPS / digest.hexdigest()


def lint(source, entry, common):
    """Returns the findings of one file; empty if it is clean.

    Fuzzers are built separately and have no compile command here; clang-tidy then uses that of a
    similar file.
    """
    stamp = stamp_of(source, entry, common) if entry else None
    if stamp and stamp.exists():
        return ""
    run = subprocess.run(
        ["clang-tidy", "--quiet", "-p", BUILD_DIR, source], capture_output=True, text=True
    )
    if run.returncode == 0:
        if stamp:
            stamp.touch()
        return ""
    lines = (run.stdout + run.stderr).splitlines()
    return "\n".join(line for line in lines if not any(noise in line for noise in NOISE))


def main():
    os.chdir(os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
    STAMPS.mkdir(parents=True, exist_ok=True)
    version = subprocess.run(["clang-tidy", "--version"], check=True, capture_output=True).stdout
    common = version + pathlib.Path(".clang-tidy").read_bytes()
    entries = compile_commands()
    sources = sys.argv[1:] or tracked_sources()
    with concurrent.futures.ThreadPoolExecutor(JOBS) as pool:
        jobs = [
            pool.submit(lint, name, entries.get(os.path.realpath(name)), common)
            for name in sources
        ]
        findings = [job.result() for job in jobs]
    findings = [finding for finding in findings if finding]
    print("\n".join(findings + [f"lint: {len(sources)} files, {len(findings)} with findings"]))
    return 1 if findings else 0


if __name__ == "__main__":
    sys.exit(main())
