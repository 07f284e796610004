#!/bin/bash
# Builds the stand-ins of the second review, with the compiler of the project and no dependency.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/harness.new review/harness-2/main.rs
mv target/review-2/harness.new target/review-2/harness
