#!/bin/sh
# Builds the stand-in that the scripts of review/11 to review/15 start, into
# target/review-3/. Needs the packages of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
"${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread \
  review/standin-3/*.cpp -o target/review-3/scene
