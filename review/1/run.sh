#!/usr/bin/env bash
# Plays case 1; see claim.txt. Exit status: 1 if the rule was broken, 0 if it was kept, 2 if the case couldn't run.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
program=review/build/extrarefusal
[ -x "$program" ] && [ -x target/src/app/hickoryspring ] || { echo "run the build of deploy/system.toml and review/build.sh first"; exit 2; }
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout 118 "$program" "$folder" "$here/record.txt"
rc=$?
[ $rc -le 1 ] || exit 2
exit $rc
