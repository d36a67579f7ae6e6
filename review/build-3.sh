#!/usr/bin/env bash
# Builds the stand-ins of review/11 to review/15 into target/review-3, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
mkdir -p target/review-3
flags="-std=c++20 -O1 -Wall -Wextra -pthread -Ireview/standins-3"
"${CXX:-g++}" $flags -c review/standins-3/standins.cpp -o target/review-3/standins.o
for source in review/1[1-5]/*.cpp; do
  "${CXX:-g++}" $flags "$source" target/review-3/standins.o -o "target/review-3/$(basename "$source" .cpp)"
done
