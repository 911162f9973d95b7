#!/usr/bin/env bash
# Builds the programs of the cases into target/review. Run it after the build
# of the deploy file. It needs only a C++20 compiler.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[0-9]*/case.cpp; do
    [ -e "$source" ] || continue
    number=$(basename "$(dirname "$source")")
    "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread -I. \
        "$source" review/harness/*.cpp -o "target/review/case-$number"
done
