#!/usr/bin/env bash
# Runs a case five times with its trouble and once without, and lists the exit
# codes in runs.txt. Usage: review/run-five.sh N
cd "$(dirname "$0")/$1" || exit 2
: > runs.txt
for run in 1 2 3 4 5; do
  ./run.sh
  echo "run $run: exit $?; $(tail -1 record.txt)" >> runs.txt
done
cp record.txt record-trouble.txt
TROUBLE=0 ./run.sh
echo "TROUBLE=0: exit $?; $(tail -1 record.txt)" >> runs.txt
mv record-trouble.txt record.txt
