#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 6 to 8 start.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O1 -I. review/standins-2/*.cpp -pthread \
    -o target/review-2/world
