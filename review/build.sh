#!/bin/sh
# Builds the stand-ins of the cases with the toolchain of the deploy file; they use no library.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
exec rustc --edition 2024 -O -o target/review/scenario review/standins/main.rs
