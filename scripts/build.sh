#!/usr/bin/env bash
# Builds everything. Usage: build.sh [BUILD_DIR] [extra cmake arguments]. Default folder: build.
set -euo pipefail
cd "$(dirname "$0")/.."
build_dir=${1:-build}
shift || true
# ccache may use a precompiled header only with these checks relaxed.
export CCACHE_SLOPPINESS=pch_defines,time_macros
# Checkouts in different folders share cached objects.
export CCACHE_BASEDIR=$PWD CCACHE_NOHASHDIR=1
cmake -S . -B "$build_dir" -G Ninja -DCMAKE_CXX_COMPILER_LAUNCHER=ccache \
  -DCMAKE_CXX_FLAGS="-fpch-preprocess" "$@" >/dev/null
cmake --build "$build_dir"
