#!/bin/bash
# Builds the stand-ins of the cases 7 to 11 to target/review-3; needs nothing but the Rust compiler.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/world review/standins-3/main.rs
