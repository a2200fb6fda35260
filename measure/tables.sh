#!/usr/bin/env bash
# Prints the tables of the pages of measurements anew, in place; the prose between
# them stays. Seeds 1 to 3, at most four runs at a time.
#
# Usage: measure/tables.sh [PAGE...]
set -euo pipefail
cd "$(dirname "$0")/.."

if [ $# -eq 0 ]; then
    set -- docs/MEASUREMENTS.md docs/MEASUREMENTS-PLACEMENT.md docs/MEASUREMENTS-FAULTS.md
fi
exec cargo run --locked --release --quiet -p bulrushtiller-measure -- renew "$@"
