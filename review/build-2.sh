#!/bin/sh
# Builds the stand-ins of the cases 4 to 8. They need nothing but the toolchain.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/review-standins review/standins-2/main.rs
