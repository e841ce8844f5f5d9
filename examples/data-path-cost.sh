#!/usr/bin/env bash
# Measures what a search costs the nodes' processors and memory: four nodes and
# the stand-ins in processes of their own, searches of one and of ten shards.
#
# Usage: examples/data-path-cost.sh [SECONDS] [SEED]
set -euo pipefail
cd "$(dirname "$0")/.."
seconds=${1:-10}
seed=${2:-1}
deployment=aranguiz
domain=santiago
. examples/common.sh

sum_metric() { # NAME: sum over the nodes
  for n in 1 2 3 4; do curl -sf "http://127.0.0.1:1720$n/metrics"; done |
    awk -v name="$1" '$1 == name || index($1, name "{") == 1 { sum += $2 } END { printf "%.6f", sum }'
}

cost() { # SERVICE RATE: prints one row
  local cpu0 cpu1 attempts0 attempts1 memory
  cpu0=$(sum_metric process_cpu_seconds_total)
  attempts0=$(sum_metric hawthorntack_dispatch_attempts_total)
  if [ "$2" != 0 ]; then
    "$command" load --entry 127.0.0.1:17001 --service "$1" --rate "$2" --duration "${seconds}s" --seed "$seed" -o json >"$work/report.json"
  else
    sleep "$seconds"
  fi
  cpu1=$(sum_metric process_cpu_seconds_total)
  attempts1=$(sum_metric hawthorntack_dispatch_attempts_total)
  memory=$(sum_metric process_resident_memory_bytes)
  awk -v s="$seconds" -v name="$1" -v rate="$2" -v cpu="$(echo "$cpu1 - $cpu0" | bc -l)" \
    -v attempts="$(echo "$attempts1 - $attempts0" | bc -l)" -v memory="$memory" -v requests="$(($2 * seconds))" 'BEGIN {
      printf "| %s | %s | %.0f | %.4f | %.1f |", name, rate, attempts, cpu / s / 4, memory / 4 / 1048576
      if (requests > 0) printf " %.1f | %.1f |\n", cpu / requests * 1e6, cpu / attempts * 1e6
      else printf " | |\n"
    }'
}

start_standins
start_nodes full
echo '| searches of | per s | attempts | cores a node | MiB a node | us a search | us an attempt |'
echo '| --- | --- | --- | --- | --- | --- | --- |'
cost idle 0
cost counter-1 300
cost counter-1 600
cost 'counter-*' 100
cost 'counter-*' 300
cost idle 0
