#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts. They are Python modules that need only the
# standard library, so this checks that they compile; the scripts start no other stand-in.
cd "$(dirname "$0")" || exit 1
python3 -B -c 'import sys; sys.exit(sys.version_info < (3, 11))' || exit 1
for file in lib-2/*.py [0-9]*/play.py; do
  python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file" || exit 1
done
