#!/usr/bin/env bash
# Fails when a source file is not formatted as clang-format would format it.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files -co --exclude-standard 'src/*.h' 'src/*.cpp' 'platform/*.h' 'platform/*.cpp' 'tests/*.h' 'tests/*.cpp' 'benchmarks/*.h' 'benchmarks/*.cpp' |
  grep -v '\.pb\.' | xargs clang-format --dry-run --Werror
