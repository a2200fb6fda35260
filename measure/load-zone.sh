#!/usr/bin/env bash
# The same site as measure/load.sh at 0.7 of capacity, while one of four availability
# zones (3 of 11 runners) is taken out after a third of the time and back after two.
#
# Usage: measure/load-zone.sh [SECONDS] [SEED]
set -euo pipefail
cd "$(dirname "$0")/.."

seconds=${1:-21}
seed=${2:-7}
third=$((seconds / 3))
# 0.7 of 88 slots, in jobs of 4 tasks of 525 ms on average.
rate=29.33

cargo build --locked --release --workspace --bins --quiet
steps=$(mktemp)
trap 'rm -f "$steps"' EXIT
cat >"$steps" <<EOF
bulrushtiller load --rate $rate --seconds $seconds --job-size 4 --mix short --seed $seed \
    --slots 88 --deadline-ms 20000 --connections 4000 &
sleep $third
bulrushtiller zone out caxias --author trial
sleep $third
bulrushtiller zone in caxias --author trial
wait
EOF
target/release/standin-site --entries 3 --runners 11 -- bash "$steps"
