#!/bin/sh
# Runs a scenario of the stand-ins: run-case.sh FOLDER SCENARIO. Exits with 1 if the rule was
# broken, 0 if it held, 2 if the case couldn't run. The daemons and runners end with it.
cd "$(dirname "$0")/.." || exit 2
[ -x target/release/comfreyramp-node ] && [ -x target/review/standins ] || exit 2
timeout -s KILL 115 target/review/standins "$2" "review/$1/record.txt"
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
