# Functions for runs of four nodes and the stand-ins, each in a process of its
# own, on loopback ports from 17001. Sourced by the scripts beside it, which set
# $deployment, $domain and $seed.

work=$(mktemp -d)
go build -o "$work/hawthorntack" ./cmd/hawthorntack
command="$work/hawthorntack"
standins=
declare -A nodes

stop_all() {
  for pid in "${nodes[@]}" $standins; do kill "$pid" 2>/dev/null || true; done
  for pid in "${nodes[@]}" $standins; do
    while kill -0 "$pid" 2>/dev/null; do sleep 0.1; done
  done
}
trap 'stop_all; rm -rf "$work"' EXIT

wait_for() { # URL
  for _ in $(seq 300); do
    if curl -sf -o /dev/null "$1"; then return; fi
    sleep 0.1
  done
  echo "$1 does not answer" >&2
  exit 1
}

start_node() { # NUMBER POLICY
  "$command" node --host "host-$1" --failure-domain "$domain-$((($1 - 1) % 3 + 1))" \
    --platform http://127.0.0.1:17400 --policy "$2" --log-level warning --seed "$((seed + $1))" \
    --listen-caller "127.0.0.1:1700$1" --listen-peer "127.0.0.1:1710$1" --listen-admin "127.0.0.1:1720$1" \
    2>>"$work/node-$1.log" &
  nodes[$1]=$!
  disown "$!"
}

wait_whole() { # waits until every node knows every upstream
  local total=$1
  for n in 1 2 3 4; do
    for _ in $(seq 300); do
      if "$command" dump --admin "127.0.0.1:1720$n" 2>/dev/null | grep -q "\"known_upstreams\": $total,"; then break; fi
      sleep 0.1
    done
  done
}

start_standins() { # starts the stand-ins and writes $work/configuration.ht
  "$command" demo --platform-only --deployment "$deployment" --listen-platform 127.0.0.1:17400 --seed "$seed" \
    --known-host "host-1,$domain-1,127.0.0.1:17101" --known-host "host-2,$domain-2,127.0.0.1:17102" \
    --known-host "host-3,$domain-3,127.0.0.1:17103" --known-host "host-4,$domain-1,127.0.0.1:17104" >"$work/standins.json" &
  standins=$!
  disown "$standins"
  wait_for http://127.0.0.1:17400/v1/hosts
  sed 's/.*"configuration":"\(.*\)"}/\1/; s/\\n/\n/g; s/\\"/"/g' "$work/standins.json" >"$work/configuration.ht"
}

start_nodes() { # POLICY: starts four nodes and applies the configuration
  for n in 1 2 3 4; do start_node "$n" "$1"; done
  for n in 1 2 3 4; do wait_for "http://127.0.0.1:1720$n/readyz"; done
  "$command" ctl --admin 127.0.0.1:17201 --file "$work/configuration.ht" >/dev/null
  wait_whole "$(grep -c '^ *upstream ' "$work/configuration.ht")"
}
