#!/usr/bin/env bash
# Exit 1: the rule was broken; 0: it held; 2: the case could not run.
# TROUBLE=0 leaves the disruption out. KEEP=1 keeps settings and logs.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/yuccastair ] && [ -x target/review-2/case-9 ] || exit 2
export TROUBLE="${TROUBLE:-1}"
export REVIEW_ROOT=$PWD
REVIEW_FOLDER=$(mktemp -d) || exit 2
export REVIEW_FOLDER
# The case leads a process group with all that it starts.
set -m
target/review-2/case-9 review/9/record.txt &
leader=$!
end_all() {
  kill -KILL -- "-$leader" 2>/dev/null
  wait "$leader" 2>/dev/null
  [ -n "${KEEP:-}" ] || rm -rf "$REVIEW_FOLDER"
}
trap end_all EXIT
trap 'exit 2' INT TERM HUP
SECONDS=0
while [ -n "$(jobs -rp)" ]; do
  [ "$SECONDS" -lt 117 ] || exit 2
  sleep 0.1
done
wait "$leader"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
