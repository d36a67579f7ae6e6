#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# Runs six fleets beside each other, as the fault shows at one or two planned
# stops in a hundred, and ends when one has shown it.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/case6 ] && [ -x target/src/app/hickoryspring ] || exit 2
folder=$(mktemp -d) || exit 2
fleets="1 2 3 4 5 6"
for fleet in $fleets; do
  (
    TMPDIR="$folder" target/review-2/case6 "$folder/$fleet" &
    echo $! >"$folder/$fleet.pid"
    wait $!
    echo $? >"$folder/$fleet.code"
  ) &
done
seconds=0
until grep -qx 1 "$folder"/*.code 2>/dev/null ||
  [ "$(ls "$folder"/*.code 2>/dev/null | wc -l)" = 6 ] ||
  [ $seconds -ge 114 ]; do
  sleep 1
  seconds=$((seconds + 1))
done
# The gateways end with the process that started them.
for fleet in $fleets; do
  [ -e "$folder/$fleet.code" ] || kill "$(cat "$folder/$fleet.pid")"
done 2>/dev/null
wait
sleep 0.5
for fleet in $fleets; do
  sed "s/^/fleet $fleet: /" "$folder/$fleet"
done >review/6/record.txt
broken=$(grep -lx 1 "$folder"/*.code | wc -l)
held=$(grep -lx 0 "$folder"/*.code | wc -l)
rm -r "$folder"
[ "$broken" -gt 0 ] && exit 1
[ "$held" = 6 ] && exit 0
exit 2
