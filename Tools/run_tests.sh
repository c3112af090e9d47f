#!/usr/bin/env bash
# Runs the tests of a build folder with CTest, except those that KNOWN-RED.txt
# lists, and prints that list.
#
# usage: Tools/run_tests.sh BUILD_FOLDER JOBS
set -euo pipefail

names=$(sed -n '/^#/d; s/ |.*//p' KNOWN-RED.txt 2>/dev/null | paste -sd '|' -)
arguments=(--test-dir "$1" --output-on-failure -j "$2")
if [ -n "$names" ]; then
  echo "not run, see KNOWN-RED.txt:"
  sed '/^#/d; s/^/  /' KNOWN-RED.txt
  arguments+=(-E "^($names)\$")
fi
ctest "${arguments[@]}"
