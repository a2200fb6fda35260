#!/usr/bin/env bash
# Builds the project's program as the deploy file says, and the review's stand-ins, which need
# nothing but the standard library.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked -p bulrushtiller-platform
mkdir -p target/review
rustc --edition 2024 -O -o target/review/case review/standins/main.rust
