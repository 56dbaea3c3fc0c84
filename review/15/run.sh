#!/usr/bin/env bash
# Plays the case on loopback addresses; with TROUBLE=0 without its disruption. Exits with 1 if the rule was
# broken, 0 if it held, and 2 if the case couldn't run.
set -um
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.." || exit 2
stand_in=target/review-3/release/review-stand-in-3
daemon=target/release/goldcrestringd
[ -x "$stand_in" ] && [ -x "$daemon" ] || exit 2

# With job control on, the stand-in and the processes that it starts are a process group of their own.
"$stand_in" rename "$daemon" > "$folder/record.txt" 2>&1 &
group=$!
trap 'kill -KILL -- "-$group" 2> /dev/null' EXIT
for _ in $(seq 1100); do
  kill -0 "$group" 2> /dev/null || break
  sleep 0.1
done
kill -0 "$group" 2> /dev/null && exit 2
wait "$group"
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
