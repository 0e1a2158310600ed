#!/usr/bin/env bash
# Runs clang-tidy on the given files, by default on all source files. Usage: lint.sh [BUILD_DIR] [FILE...].
# Skips a file when the file, all headers and .clang-tidy are unchanged since its last clean run.
set -euo pipefail
cd "$(dirname "$0")/.."
build_dir=${1:-build}
shift || true
if [ $# -gt 0 ]; then files=("$@"); else
  mapfile -t files < <(git ls-files -co --exclude-standard 'src/*.cpp' 'platform/*.cpp' 'tests/*.cpp' 'benchmarks/*.cpp' | grep -v '\.pb\.')
fi
export LINT_CACHE=${XDG_CACHE_HOME:-$HOME/.cache}/hickorystall-lint
mkdir -p "$LINT_CACHE"
# Clang cannot read the precompiled header of GCC; each file includes what it needs.
export LINT_DB
LINT_DB=$(mktemp -d)
trap 'rm -rf "$LINT_DB"' EXIT
sed -E 's/-include [^ ]*cmake_pch.hxx//g; s/-fpch-preprocess//g; s/-Winvalid-pch//g' "$build_dir/compile_commands.json" > "$LINT_DB/compile_commands.json"
lint_one() {
  local file=$1 key
  key=$({ cat .clang-tidy; find src platform tests benchmarks -name '*.h' -print0 | sort -z | xargs -0 cat; cat "$file"; echo "$file"; } | sha256sum | cut -c1-40)
  [ -e "$LINT_CACHE/$key" ] && return 0
  if clang-tidy --quiet -p "$LINT_DB" "$file" >"$LINT_DB/$key.log" 2>&1; then touch "$LINT_CACHE/$key"; else
    grep -vE 'warnings? (generated|treated)|Suppressed' "$LINT_DB/$key.log"
    return 1
  fi
}
export -f lint_one
printf '%s\n' "${files[@]}" | xargs -P "$(nproc)" -I{} bash -c 'lint_one {}'
