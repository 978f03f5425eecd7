#!/bin/bash
# Builds the stand-ins that the scripts of the cases 4 to 8 start. Run after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for name in twice regress limits; do
    g++ -O1 -std=c++20 -Wall -Wextra -o "target/review-2/$name" "review/standins-2/$name.cpp" -pthread
done
