#!/usr/bin/env bash
# Builds the stand-ins of all cases, with the standard library only.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
rustc --edition 2024 -O -o bin/harness harness/main.rs
