#!/usr/bin/env bash
# Runs clang-tidy on every source file of the compilation database of the given
# build folder. Skips the unit tests and files that include RESTinio, because
# their headers take clang-tidy minutes per file.
set -euo pipefail

build=$1
files=()
while read -r file; do
  grep -q '<restinio/' "$file" || files+=("$file")
done < <(git ls-files --cached --others --exclude-standard 'Source/*.cc' 'platform/*.cc' | grep -v '^Source/UnitTests/')
printf '%s\n' "${files[@]}" | xargs -n 1 -P "${JOBS:-$(nproc)}" clang-tidy -p "$build" --quiet 2>/dev/null
