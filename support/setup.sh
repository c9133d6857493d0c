#!/usr/bin/env bash
# Installs the packages that the build, the tests and the checks need (Debian 12).
set -euo pipefail

packages=(cmake ninja-build g++ clang-format clang-tidy-16 ccache pkg-config curl python3
    librestinio-dev libasio-dev libwebsocketpp-dev libfmt-dev nlohmann-json3-dev libhttp-parser-dev
    libcpputest-dev librapidcheck-dev libboost-dev libboost-program-options-dev
    libcurl4-openssl-dev libssl-dev zlib1g-dev)

missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done
if ((${#missing[@]} > 0)); then
    apt-get update -qq
    DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
fi
