#!/usr/bin/env bash
# Installs the Debian packages that the build, the linters and the tests need.
set -euo pipefail
packages=(
  g++ cmake ninja-build ccache pkg-config python3
  clang clang-format clang-tidy libclang-rt-14-dev
  libsigc++-2.0-dev libevent-dev libhttp-parser-dev libzmq3-dev
  libprotobuf-dev protobuf-compiler
  libboost-dev libboost-program-options-dev liblog4cplus-dev
  catch2 nlohmann-json3-dev libxxhash-dev libzstd-dev libsodium-dev
)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
export DEBIAN_FRONTEND=noninteractive
sudo=""
[ "$(id -u)" -eq 0 ] || sudo=sudo
$sudo apt-get update -q
$sudo apt-get install -y -q --no-install-recommends "${missing[@]}"
