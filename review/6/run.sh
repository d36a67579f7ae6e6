#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# Runs six fleets beside each other, as the fault shows at a few planned stops in
# a hundred.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/case6 ] && [ -x target/src/app/hickoryspring ] || exit 2
folder=$(mktemp -d) || exit 2
jobs=""
for fleet in 1 2 3 4 5 6; do
  target/review-2/case6 "$folder/$fleet" &
  jobs="$jobs $!"
done
broken=0
failed=0
for job in $jobs; do
  wait "$job"
  case $? in
  0) ;;
  1) broken=1 ;;
  *) failed=1 ;;
  esac
done
for fleet in 1 2 3 4 5 6; do
  sed "s/^/fleet $fleet: /" "$folder/$fleet"
done >review/6/record.txt
rm -r "$folder"
[ $broken = 1 ] && exit 1
[ $failed = 1 ] && exit 2
exit 0
