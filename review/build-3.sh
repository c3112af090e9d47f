#!/bin/sh
# Builds the stand-ins of the cases 11 to 15.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
${CXX:-g++} -std=c++20 -O1 -Wall -Wextra -pthread -I/usr/include/jsoncpp \
  review/standin-3/http.cc review/standin-3/platform.cc \
  review/standin-3/main.cc -o target/review-3/standin-3 -ljsoncpp
