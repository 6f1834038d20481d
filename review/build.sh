#!/usr/bin/env bash
# Builds the stand-ins of the cases: one program a case, from the standard library alone, without a network.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p target
for case in [0-9]*/; do
    # A case uses only a part of the stand-ins.
    rustc --edition 2021 -O -A dead_code -o "target/case-${case%/}" "${case}case.rs"
done
