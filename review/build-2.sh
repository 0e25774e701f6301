#!/bin/sh
# Builds the stand-ins of the scripts in review/6 to review/10: one program, from the standard library alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc -O --edition 2024 -o target/review-2/standin review/standin-2/main.rs
