#!/bin/sh
# Exit 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0: without the disruption.
folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$folder/../.." && pwd)
program=$root/review/bin/case$(basename "$folder")
[ -x "$program" ] && [ -x "$root/bin/jasperpin" ] || { echo "build first: the deploy file's build, and review/build.sh"; exit 2; }
temp=$(mktemp -d) || exit 2
timeout -k 2 115 "$program" "$root" "$folder" "$temp" &
run=$!
trap 'kill "$run"; wait "$run"; rm -rf "$temp"; exit 2' HUP INT TERM # the nodes end with the program
wait "$run"
code=$?
rm -rf "$temp"
[ "$code" -le 1 ] && exit "$code"
exit 2
