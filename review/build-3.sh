#!/bin/bash
# Builds the stand-ins of the third review, with the compiler of the project and no dependency.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/harness.new review/harness-3/main.rs
mv target/review-3/harness.new target/review-3/harness
