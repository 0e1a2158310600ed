#!/usr/bin/env bash
# Installs dependencies, builds, and runs a demonstration on loopback. Exits 0 only when every check passed.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install_dependencies.sh
scripts/build.sh build
exec python3 scripts/demo.py build
