#!/usr/bin/env bash
# Runs one of today's deployments over real sockets, each node in a process of
# its own: steady state, a straggler, an upstream lost, the index rolling, a node
# killed. The plain baseline comes first, then the full policies, against the
# same stand-ins and seeds.
#
# Usage: examples/load-run.sh aranguiz|hinokuni [SECONDS-A-PHASE] [SEED]
set -euo pipefail
cd "$(dirname "$0")/.."
deployment=${1:?aranguiz or hinokuni}
seconds=${2:-10}
seed=${3:-1}
case "$deployment" in
aranguiz) search='counter-*' rate=150 orders=print-room order_rate=100 domain=santiago lost=counter-1/u1 slow=counter-2/u2 ;;
hinokuni) search='vacancy-finder-*' rate=200 orders=inquiry-book order_rate=100 domain=kyushu lost=vacancy-finder-1/u1 slow=vacancy-finder-2/u2 ;;
*) echo 'the deployment is aranguiz or hinokuni' >&2; exit 2 ;;
esac

. examples/common.sh

phase() { # NAME SERVICE RATE [load flags]: prints one row
  local name=$1 service=$2 at=$3
  shift 3
  phases=$((phases + 1))
  "$command" load --entry 127.0.0.1:17001 --entry 127.0.0.1:17002 --entry 127.0.0.1:17003 --entry 127.0.0.1:17004 \
    --service "$service" --rate "$at" --duration "${seconds}s" --seed "$((seed * 100 + phases))" -o json "$@" >"$work/report.json"
  read_field() { sed -n "s/^ *\"$1\": \([0-9.e+-]*\),\{0,1\}$/\1/p" "$work/report.json"; }
  printf '| %s | %s | %s | %s | %s | %s | %s | %s | %s | %s | %s | %s | %s | %s |\n' "$policy" "$name" \
    "$(read_field requests)" "$(read_field p50_ms)" "$(read_field p95_ms)" "$(read_field p99_ms)" "$(read_field p99_9_ms)" \
    "$(read_field coverage)" "$(read_field extra_work)" "$(read_field partial)" "$(read_field not_run)" \
    "$(read_field unknown)" "$(read_field failed)" "$(($(read_field foreign) + $(read_field mixed)))"
}

upstream() { # SERVICE/UPSTREAM ACTION
  curl -sf -X POST -o /dev/null "http://127.0.0.1:17400/v1/upstreams/$1/$2"
}

echo '| policy | phase | requests | p50 ms | p95 ms | p99 ms | p99.9 ms | coverage | extra work | partial | not run | unknown | failed | foreign or mixed |'
echo '| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |'
for policy in plain full; do
  phases=0
  start_standins
  if [ "$policy" = plain ]; then
    sed -i 's/repeat yes hedge budget 5%/repeat yes hedge budget 0%/; s/refuse queue/canary no refuse queue/' "$work/configuration.ht"
  fi
  start_nodes "$policy"

  phase 'steady, search' "$search" "$rate"
  phase 'steady, orders' "$orders" "$order_rate" --kind order --resends 2
  upstream "$slow" 'slow?factor=20'
  phase 'one replica of 30 is 20x slow' "$search" "$rate"
  upstream "$slow" 'slow?factor=1'
  (sleep $((seconds / 3)); upstream "$lost" "stop?for_ms=$((seconds * 1000 / 3))") &
  phase 'an upstream lost for a third' "$search" "$rate"
  curl -sf -X POST -o /dev/null "http://127.0.0.1:17400/v1/roll?over_ms=$((seconds * 500))"
  phase 'the index rolls' "$search" "$rate"
  (sleep $((seconds / 3)); kill -KILL "${nodes[4]}") &
  phase 'a node killed, search' "$search" "$rate"
  start_node 4 "$policy"
  wait_for http://127.0.0.1:17204/readyz
  (sleep $((seconds / 3)); kill -KILL "${nodes[4]}") &
  phase 'a node killed, orders' "$orders" "$order_rate" --kind order --resends 2
  echo "- $policy: stand-ins counted $(curl -sf http://127.0.0.1:17400/v1/upstreams)" >>"$work/notes"
  stop_all
  nodes=()
done
echo
cat "$work/notes"
