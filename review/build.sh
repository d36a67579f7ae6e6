#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into review/build.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
common=(standins/net.cpp standins/store.cpp standins/replica.cpp standins/fleet.cpp)
for program in extrarefusal holderrestart; do
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "build/$program" "standins/$program.cpp" "${common[@]}"
done
