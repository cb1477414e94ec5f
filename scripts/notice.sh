#!/usr/bin/env bash
# Counts the seeds with which the soak detects that a mechanism is switched off. Prints a row for all
# mechanisms on and one for each mechanism, with the seeds that had a finding. The parts for load beyond
# capacity matter only under overload: they have seeds and a row for all mechanisms on of their own.
#
#   SEEDS="1 2 3 4" OVERLOAD_SEEDS="9000 9001" SECONDS_EACH=8 JOBS=3 scripts/notice.sh [MECHANISM...]
set -euo pipefail
cd "$(dirname "$0")/.."
printed=$(./bin/agatewayd front print)
parts="ranks $(sed -n '/^\[overload\]/,/^\[process\]/s/^\([a-z_]*\) = \(true\|false\)$/\1/p' <<<"$printed" | xargs)"
all="$(sed -n '/^\[mechanisms\]/,/^\[/s/^\([a-z_]*\) = true$/\1/p' <<<"$printed" | grep -vx ranks | xargs) all-on-overload $parts"
seeds=${SEEDS:-1 2 3 4} overload_seeds=${OVERLOAD_SEEDS:-9000 9001 9002 9003}
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

play() { # MECHANISM SEED: runs a soak and prints a line with its number of findings
  local off=()
  [[ $1 == all-on* ]] || off=(--without "$1")
  if ./bin/agateway soak --seed "$2" --seconds "${SECONDS_EACH:-8}" "${off[@]}" >"$work/$1-$2" 2>&1; then
    echo "$1 $2 0"
  else
    echo "$1 $2 $(grep -c FINDING "$work/$1-$2")"
  fi
}
export -f play
export work SECONDS_EACH
for name in all-on ${*:-$all}; do
  if [[ " all-on-overload $parts " == *" $name "* ]]; then of=$overload_seeds; else of=$seeds; fi
  for seed in $of; do echo "$name $seed"; done
done | xargs -P "${JOBS:-3}" -L 1 bash -c 'play "$@"' _ >"$work/counts"
awk '{n[$1]++; if ($3 > 0) {found[$1]++; seeds[$1] = seeds[$1] " " $2}} END {for (m in n) printf "%-16s %d of %d:%s\n", m, found[m], n[m], seeds[m]}' "$work/counts" | sort
