#!/bin/sh
# Builds the stand-ins that the scripts of review/4 to review/6 start; needs the toolchain only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/case review/standins-2/main.rs
