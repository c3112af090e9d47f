#!/usr/bin/env bash
# Runs the case of the folder that is named. Exits with 1 if the rule was
# broken, 0 if it held and 2 if the case could not run. With KEEP_LOGS set to a
# folder, the logs of the instances are copied there.
set -u
folder="$(cd "$1" && pwd)"
root="$(cd "$folder/../.." && pwd)"
program="$root/target/review/case-$(basename "$folder")"
if [ ! -x "$program" ] || [ ! -x "$root/target/bin/daisyroad-izarra" ]; then
  echo "build the deploy file and review/build.sh first"
  exit 2
fi
work="$(mktemp -d)"
timeout -k 5 115 "$program" "$root" "$work" "$folder/record.txt"
code=$?
if [ -n "${KEEP_LOGS:-}" ]; then
  mkdir -p "$KEEP_LOGS" && cp "$work"/*.log "$KEEP_LOGS"/
fi
rm -rf "$work"
tail -n 1 "$folder/record.txt"
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
