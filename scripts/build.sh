#!/usr/bin/env bash
# Builds all targets. Usage: build.sh [BUILD_DIR] [extra cmake arguments]. BUILD_DIR defaults to build.
set -euo pipefail
cd "$(dirname "$0")/.."
build_dir=${1:-build}
shift || true
# Required for ccache to work with precompiled headers.
export CCACHE_SLOPPINESS=pch_defines,time_macros
# Lets checkouts in different folders share cached objects.
export CCACHE_BASEDIR=$PWD CCACHE_NOHASHDIR=1
cmake -S . -B "$build_dir" -G Ninja -DCMAKE_CXX_COMPILER_LAUNCHER=ccache \
  -DCMAKE_CXX_FLAGS="-fpch-preprocess" "$@" >/dev/null
cmake --build "$build_dir"
