#!/usr/bin/env bash
# Installs the Debian packages that are listed in the given file, one per line,
# and not installed yet.
set -euo pipefail

missing=()
while read -r package; do
  [ -n "$package" ] || continue
  if ! dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed'; then
    missing+=("$package")
  fi
done < "$1"

[ "${#missing[@]}" -eq 0 ] && exit 0
echo "installing: ${missing[*]}"
export DEBIAN_FRONTEND=noninteractive
apt-get update -q
apt-get install -y -q "${missing[@]}"
