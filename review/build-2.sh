#!/bin/sh
# Builds the stand-ins of the scripts in review/4 to review/8: one program without dependencies.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/scenario review/standins-2/main.rust
