#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2, after the
# build of deploy/system.toml. Needs g++ and nlohmann-json3-dev, which that
# build needs as well.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standin-2/*.cpp; do
  name=$(basename "$source" .cpp)
  g++ -std=c++20 -O1 -g -Wall -Wextra -o "target/review-2/$name" "$source" \
    -pthread
done
