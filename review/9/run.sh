#!/bin/sh
# Exits with 1 if LOST was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption;
# TROUBLE=kill: with a kill of all entries instead of the rolling restart.
cd "$(dirname "$0")/../.." || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
case_name=roll
disruption=${TROUBLE:-1}
if [ "$disruption" = kill ]; then
    case_name=taken-up
    disruption=1
fi
timeout -k 5 110 java -Xmx512m -cp 'target/review-2:target/entry/*' RunCase \
    "$case_name" "$folder" review/9/record.txt "$disruption"
result=$?
[ "$result" -le 1 ] && exit "$result"
exit 2
