#!/usr/bin/env bash
# Builds the stand-ins of all cases into review/out/.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p out
for source in [1-5]/case.cpp; do
  [ -e "$source" ] || continue
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -Istand_in "$source" \
    -o "out/case-${source%%/*}" &
done
wait
for source in [1-5]/case.cpp; do
  [ ! -e "$source" ] || [ -x "out/case-${source%%/*}" ] || exit 1
done
