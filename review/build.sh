#!/usr/bin/env bash
# Builds the programs of the scripted cases into review/bin, with the stand-ins
# that they hold.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
build() { # SOURCE PROGRAM
  g++ -std=c++20 -O1 -Wall -Wextra -pthread "$1" -o "bin/$2"
}
for source in [1-5]/case.cpp; do
  [ -f "$source" ] && build "$source" "case-${source%%/*}"
done
build standin/foreign_cancel.cpp foreign-cancel
build standin/late_submit.cpp late-submit
