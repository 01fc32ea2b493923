#!/usr/bin/env bash
# Builds the stand-ins and the cases of the second review into target/review-2/; needs a C++20 compiler only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for number in 6 7 8 9 10; do
    source="review/$number/main.cc"
    if [ -f "$source" ]; then
        "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread -I review/standin-2 -o "target/review-2/case-$number" "$source"
    fi
done
