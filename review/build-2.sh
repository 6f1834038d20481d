#!/usr/bin/env bash
# Builds the cases of the second review, each with its stand-ins, with the compiler alone: no dependency is needed.
set -euo pipefail
cd "$(dirname "$0")"
out=../target/review-2
mkdir -p "$out"
for number in 6 7 8 9 10; do
    if [ -f "$number/case.rs" ]; then
        rustc --edition 2021 -O -o "$out/case-$number" "$number/case.rs"
    fi
done
