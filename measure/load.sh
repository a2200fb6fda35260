#!/usr/bin/env bash
# Load over real processes: 3 entries, 11 runners of 8 slots, a worker for each, all on
# this machine, at shares of the slots' capacity. Prints the figures of each load.
#
# Usage: measure/load.sh [SECONDS] [SEED] [naive]
#
# With 'naive' the same loads go to the naive dispatcher (standin-naive) in place of the
# entries: one process, the same 11 workers, 8 slots on each.
# docs/MEASUREMENTS-LOAD.md has the figures.
set -euo pipefail
cd "$(dirname "$0")/.."

seconds=${1:-20}
seed=${2:-7}
way=${3:-ours}
slots=88
tasks_a_job=4
# Tasks of the mix 'short' run 50 to 1000 ms, uniform between: 525 ms on average.
mean_ms=525
shares="0.5 0.7 1.0 2.0"

case $way in
ours | naive) ;;
*)
    echo "measure/load.sh: '$way' is neither 'ours' nor 'naive'" >&2
    exit 2
    ;;
esac

cargo build --locked --release --workspace --bins --quiet
steps=$(mktemp)
trap 'rm -f "$steps"' EXIT
if [ "$way" = naive ]; then
    cat >"$steps" <<EOF
set -euo pipefail
exec {naive}< <(exec standin-naive --workers "\$SITE_WORKERS" --slots 8 --seed $seed)
naive_pid=\$!
trap 'kill \$naive_pid' EXIT
read -r _listening address <&\$naive
export BULRUSHTILLER_ENTRIES=\$address
EOF
fi
for share in $shares; do
    rate=$(awk -v s="$share" -v n=$slots -v ms=$mean_ms -v k=$tasks_a_job \
        'BEGIN { printf "%.2f", s * n * 1000 / ms / k }')
    echo "echo '== $way, share $share of capacity: $rate jobs/s'"
    echo "bulrushtiller load --rate $rate --seconds $seconds --job-size $tasks_a_job" \
        "--mix short --seed $seed --slots $slots --deadline-ms 20000 --connections 4000"
    # What was refused may come back for a while; the next load starts with nothing open.
    echo "sleep 2"
done >>"$steps"
# A site of its own for each run, so that nothing learned is carried over.
target/release/standin-site --entries 3 --runners 11 -- bash "$steps"
