#!/usr/bin/env bash
# Plays the quick days of the sites of the regression runs and prints the mean worth of each
# site's days, beside the worth that the site's last committed journal entry has for the
# same days.
#
# Usage: examples/regression-run.sh KIT [WHY]
# KIT is the folder with the users' site files and the bench.
set -euo pipefail
kit=$(realpath "${1:?folder with the site files}")
why=${2:-regression run}
cd "$(dirname "$0")/.."
bench=$(find "$kit" -path '*bench-*/bin/fleetbench' | head -n 1)
sites=(further/obermayr-reife further-grown/obermayr-reife-grown large/aranguiz-verso-large)

# worth_of ENTRY prints "day worth" lines of a journal entry.
worth_of() { jq -r '.days[] | "\(.name) \(.G)"' "$1"; }

# last_entry SITE prints the newest committed journal entry of scores of a site.
last_entry() {
  git ls-files 'journal/*.json' | sort -r | while read -r entry; do
    if jq -e --arg site "$1" '.cmd == "score" and .site == $site and .ok' "$entry" >/dev/null; then
      echo "$entry"
      break
    fi
  done
}

status=0
printf '| site | day | worth | before |\n| --- | --- | --- | --- |\n'
for site in "${sites[@]}"; do
  name=$(basename "$site")
  before=$(last_entry "$name")
  "$bench" score "$kit/$site.toml" --quick --jobs 3 --why "$why" >"/tmp/regression-$name.log" 2>&1 || status=1
  now=$(ls -t journal/*.json | head -n 1)
  worth_of "$now" | while read -r day worth; do
    printf '| %s | %s | %.3f | %s |\n' "$name" "$day" "$worth" "$([ -n "$before" ] && worth_of "$before" | awk -v d="$day" '$1 == d { printf "%.3f", $2 }')"
  done
done
exit $status
