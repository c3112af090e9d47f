#!/bin/sh
# Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
# TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$folder/../.." && pwd)
program="$root/target/review-3/standin-3"
[ -x "$program" ] || exit 2
exec "$program" wave "$folder/record.txt" "$root" "${TROUBLE:-1}"
