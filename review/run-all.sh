#!/usr/bin/env bash
# Runs every case five times and once without its disruption, all cases at the
# same time. Writes the outcomes to review/N/runs.txt and keeps the record of the
# last run with the disruption, shortened, beside them.
set -u
cd "$(dirname "$0")"
one() {
  number=$1
  : >"$number/runs.txt"
  for run in 1 2 3 4 5; do
    said=$("$number/run.sh" 2>&1)
    echo "TROUBLE=1 run $run: exit $?, $said" >>"$number/runs.txt"
  done
  { head -n 60 "$number/record.txt"; echo "..."
    tail -n 60 "$number/record.txt"; } >"$number/record-excerpt.txt"
  said=$(TROUBLE=0 "$number/run.sh" 2>&1)
  echo "TROUBLE=0: exit $?, $said" >>"$number/runs.txt"
}
for number in 1 2 3 4 5; do
  one "$number" &
done
wait
