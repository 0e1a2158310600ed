#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/11 to review/15 start. They are Python programs that need only the
# standard library of Python 3.9 or later, so this only checks that they can be compiled. Run it after the build of
# the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins-3/*.py 1[1-5]/*.py; do
  python3 -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file"
done
