#!/usr/bin/env bash
# Measures the effect of each mechanism on the score of benchmark scenarios. The scenarios are run
# with all mechanisms on, and then with one mechanism at a time switched off in section [mechanisms]
# of the settings. Prints a row for each: the mean score over all scenarios and seeds, the difference
# from the runs with all mechanisms on (paired by scenario and seed), and its standard error. Runs
# without a score are left out.
#
# DAYS lists the scenarios. Each is a name in the site file, or a file relative to the root of the
# checkout.
#
#   BENCH=path/of/the/bench DAYS="trouble-1 scale-1" SEEDS="1 2 3" JOBS=6 scripts/ablation.sh SITE [MECHANISM...]
set -euo pipefail
site=$(realpath "$1")
shift
root=$(git rev-parse --show-toplevel)
all=$("$root"/target/agatewayd front print | sed -n '/^\[mechanisms\]/,/^\[/s/^\([a-z_]*\) = true$/\1/p')
names="all-on ${*:-$all}"
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

for name in $names; do
  git clone -q "$root" "$work/$name"
  [ "$name" = all-on ] || printf '\n[mechanisms]\n%s = false\n' "$name" >>"$work/$name/deploy/front.ini.tmpl"
  (cd "$work/$name" && "$BENCH" build >/dev/null)
done

play() { # MECHANISM SCENARIO SEED: runs a scenario and prints a line with its score
  cd "$work/$1"
  local out
  out="out-$(basename "$2")-$3.txt"
  "$BENCH" run "$site" "$2" --seed "$3" --no-cpu --why "ablation: $1" >"$out" 2>&1 || true
  echo "$1 $2-$3 $(awk '$1 == "worth" {print $2; exit}' "$out")"
}
export -f play
export work site BENCH
for name in $names; do
  for day in $DAYS; do
    for seed in $SEEDS; do echo "$name $day $seed"; done
  done
done | xargs -P "${JOBS:-4}" -L 1 bash -c 'play "$@"' _ >"$work/worth.txt"

cp -rn "$work"/*/journal/. "$root/journal/"
awk '
  $3 != "" { worth[$1, $2] = $3; sum[$1] += $3; n[$1]++; if (!($2 in seen)) { seen[$2]; days[++d] = $2 } }
  END {
    for (m in sum) {
      s = q = c = 0
      for (i = 1; i <= d; i++) if ((m, days[i]) in worth && ("all-on", days[i]) in worth) {
        x = worth[m, days[i]] - worth["all-on", days[i]]; s += x; q += x * x; c++
      }
      se = c > 1 ? sqrt((q - s * s / c) / (c - 1) / c) : 0
      printf "%-16s %3d days  worth %.3f  without it %+.3f +- %.3f\n", m, n[m], sum[m] / n[m], c ? s / c : 0, se
    }
  }' "$work/worth.txt" | sort -k7,7g
