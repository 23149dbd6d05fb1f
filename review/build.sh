#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start into target/review.
# Run it after the build line of deploy/system.toml, which makes the gateway.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/standins -B target/review -DCMAKE_BUILD_TYPE=Release
cmake --build target/review -j4 --target review-store review-engines
