#!/usr/bin/env bash
# Installs the build tools and libraries as Debian 12 packages. Does nothing when all are already installed.
set -euo pipefail
packages=(g++ cmake ninja-build ccache clang-format clang-tidy pkg-config python3
  libboost1.81-all-dev libabsl-dev libzmq3-dev cppzmq-dev libprotobuf-dev protobuf-compiler
  libcli11-dev libgoogle-glog-dev libssl-dev catch2 libtrompeloeil-cpp-dev nlohmann-json3-dev librapidcheck-dev libspdlog-dev)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
sudo=""
[ "$(id -u)" -eq 0 ] || sudo=sudo
$sudo apt-get update -qq
$sudo apt-get install -y -qq --no-install-recommends "${missing[@]}"
