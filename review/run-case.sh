#!/usr/bin/env bash
# Runs the case of folder $1: exits with 1 if the rule was broken, 0 if it held
# and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -u
number=$1
cd "$(dirname "$0")/.."
program=$PWD/target/yuccastair
stand_in=$PWD/review/out/case-$number
if [ ! -x "$program" ] || [ ! -x "$stand_in" ]; then
  echo "build the program and the stand-ins first: review/build.sh" >&2
  exit 2
fi
folder=$(mktemp -d) || exit 2
# The processes of the system end with the stand-in that started them.
timeout -k 5 115 "$stand_in" "$program" "$PWD/review/$number/record.txt" \
  "$folder" &
child=$!
stop() {
  kill -TERM "$child" 2>/dev/null
  wait "$child"
  rm -rf "$folder"
  exit 2
}
trap stop INT TERM HUP
wait "$child"
status=$?
[ -n "${KEEP:-}" ] && echo "logs: $folder" || rm -rf "$folder"
case $status in
  0 | 1) exit $status ;;
  *) exit 2 ;;
esac
