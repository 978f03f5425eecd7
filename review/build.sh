#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this folder start, into target/review. They need a C++20 compiler alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in review/[1-9]/case.cpp; do
  number=$(basename "$(dirname "$case")")
  "${CXX:-g++}" -std=c++20 -O2 -Wall -Wextra -pthread -o "target/review/case$number" "$case"
done
