#!/usr/bin/env bash
# Plays the case once: exit 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
set -uo pipefail
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.."
if [ ! -x target/release/goldcrestringd ] || [ ! -x target/review/case ]; then
  echo "run the build of deploy/system.toml and review/build.sh first" | tee "$here/record.txt"
  exit 2
fi
exec target/review/case stale-evacuation-finish "$here/record.txt"
