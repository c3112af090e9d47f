#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into target/review-2.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O2 -Wall -Wextra -pthread \
  $(pkg-config --cflags jsoncpp) review/standin-2/*.cc \
  -o target/review-2/cases $(pkg-config --libs jsoncpp)
