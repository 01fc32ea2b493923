#!/usr/bin/env bash
# Builds the stand-ins and the cases of the review into target/review/; needs a C++20 compiler only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/*/case.cc; do
    number="$(basename "$(dirname "$source")")"
    "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread -I review/standin -o "target/review/case-$number" "$source"
done
