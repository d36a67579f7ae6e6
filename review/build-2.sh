#!/bin/sh
# Builds the stand-ins that the scripts of review/6 to review/10 start, into
# target/review-2. Run it after the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
sources=review/standins-2
out=target/review-2
mkdir -p "$out"
flags="-std=c++20 -O0 -DASIO_STANDALONE -pthread"
jobs=""
for source in "$sources"/*.cpp; do
  name=$(basename "$source" .cpp)
  ${CXX:-g++} $flags -c "$source" -o "$out/$name.o" &
  jobs="$jobs $!"
done
for job in $jobs; do
  wait "$job"
done
for source in "$sources"/case*.cpp; do
  name=$(basename "$source" .cpp)
  ${CXX:-g++} "$out/$name.o" "$out/lab.o" "$out/engine.o" -o "$out/$name" -pthread
done
