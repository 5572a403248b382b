#!/bin/sh
# Runs the script of a case five times with the disruption and twice without it.
cd "$(dirname "$0")/$1" || exit 2
for number in 1 2; do TROUBLE=0 ./run.sh; echo "without the disruption, run $number: exit $?"; done
for number in 1 2 3 4 5; do ./run.sh; echo "run $number: exit $?"; done
