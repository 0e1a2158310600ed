#!/usr/bin/env bash
# Builds the stand-ins of all cases. They are Python 3 (standard library only), so they are only compiled to check them.
cd "$(dirname "$0")" && for file in standins/standins.py [1-5]/case.py; do
  python3 -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file" || exit 1
done
