#!/usr/bin/env bash
# Measures what relaying costs an instance: processor time per token and memory per open generation,
# read from /proc while the instance does nothing but relay. Prints one line with the figures, then
# the last line of the demo.
set -euo pipefail
cd "$(dirname "$0")/.."
generations=${GENERATIONS:-240}
tokens=${TOKENS:-600}
. scripts/lib.sh

cpu_ms() { awk -v hz="$(getconf CLK_TCK)" '{print int(($14 + $15) * 1000 / hz)}' "/proc/$1/stat"; }
rss_kb() { awk "/^$2:/{print \$2}" "/proc/$1/status"; }

start platform bin/agateway standin platform
platform="http://$(field platform address)"
engines=()
for i in $(seq 0 $((${ENGINES:-4} - 1))); do
  start "engine-$i" bin/agateway standin engine --id "engine-$i" --service brief-llm --model brief@1 --data-centre alm-hall-a \
    --platform "$platform" --interval 20ms --slots 64
  engines+=("$(field "engine-$i" address)")
done
start service bin/agateway standin service --id queue-app-0 --service queue-app --data-centre alm-hall-a --platform "$platform"
start gateway bin/agatewayd --config "$(settings entry-0 alm-hall-a "$platform" measure)"
gateway=${pids[-1]}
sleep 3
idle=$(cpu_ms "$gateway")
sleep 10
control=$(($(cpu_ms "$gateway") - idle))
rss=$(rss_kb "$gateway" VmRSS)
before=$(cpu_ms "$gateway")
bin/agateway demo --gateways "$(field gateway callers)" --engines "$(join "${engines[@]}")" --service "$(field service address)" \
  --operator-key measure --deployment examples/dala/brief-llm.json --deployment examples/dala/queue-app.json \
  --generations "$generations" --calls 2 --tokens "$tokens" >"$work/demo.out"
used=$(($(cpu_ms "$gateway") - before))
peak=$(rss_kb "$gateway" VmHWM)
total=$((generations * tokens))
echo "measure: tokens=$total cpu_ms=$used tokens_per_core_s=$((total * 1000 / used)) idle_cpu_pct=$(awk "BEGIN{print $control / 100}") rss_idle_kb=$rss rss_peak_kb=$peak kb_per_open_generation=$(((peak - rss) / generations))"
tail -n 1 "$work/demo.out"
