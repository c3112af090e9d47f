#!/usr/bin/env bash
# Builds the libFuzzer target for declarations and settings with AddressSanitizer
# and UndefinedBehaviorSanitizer and runs it for the given number of seconds
# (default 60) with the example files as seed corpus. Findings and the corpus are
# kept in build-fuzz.
set -euo pipefail
cd "$(dirname "$0")/.."

seconds=${1:-60}
out=build-fuzz
mkdir -p "$out/corpus"
flags="$(pkg-config --cflags jsoncpp libxxhash)"
libraries="$(pkg-config --libs jsoncpp libxxhash) -lcrypto"
sources=(Source/Fuzz/declaration_fuzz.cc Source/Core/Declaration/*.cc Source/Core/Config/*.cc
         Source/Core/Common/{error,error_code,hash,json}.cc)
# shellcheck disable=SC2086
clang++ -std=c++20 -g -O1 -fsanitize=fuzzer,address,undefined -fno-sanitize-recover=undefined \
  -ISource $flags "${sources[@]}" $libraries -o "$out/declaration_fuzz"
exec "$out/declaration_fuzz" -max_total_time="$seconds" -max_len=65536 -artifact_prefix="$out/" \
  "$out/corpus" examples/izarra examples/liitto
