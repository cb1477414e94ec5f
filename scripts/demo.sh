#!/usr/bin/env bash
# The main job on one machine: a platform, six engines, a plain service and three instances
# as processes of their own, faults while answers are in flight, every answer checked.
# Ports come from the kernel; everything that was started is ended, by its id.
set -euo pipefail
cd "$(dirname "$0")/.."
work=$(mktemp -d)
pids=()
cleanup() {
  for p in "${pids[@]}"; do kill -KILL "$p" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$work"
}
trap cleanup EXIT

# start NAME COMMAND...: runs it in the background and waits for its line "ready ...".
start() {
  local name=$1
  shift
  "$@" >"$work/$name.out" 2>"$work/$name.log" &
  pids+=($!)
  disown
  for _ in $(seq 200); do
    if grep -q '^ready ' "$work/$name.out"; then return 0; fi
    if ! kill -0 "${pids[-1]}" 2>/dev/null; then break; fi
    sleep 0.05
  done
  echo "demo: $name did not start" >&2
  cat "$work/$name.log" >&2
  return 1
}
# field NAME KEY: what NAME said of itself.
field() { sed -n "s/^ready .*$2=\([^ ]*\).*/\1/p" "$work/$1.out"; }

start platform bin/agateway standin platform --lag 500ms
platform="http://$(field platform address)"
dcs=(alm-hall-a alm-hall-b shym-hall)
engines=()
engine_pids=()
for i in 0 1 2 3 4 5; do
  start "engine-$i" bin/agateway standin engine --id "engine-$i" --service brief-llm --model brief@1 \
    --data-centre "${dcs[i % 3]}" --platform "$platform" --interval 15ms
  engines+=("$(field "engine-$i" address)")
  engine_pids+=("${pids[-1]}")
done
start service bin/agateway standin service --id queue-app-0 --service queue-app --data-centre alm-hall-a --platform "$platform"

operator_key="demo-operator-key"
operator_hash=$(printf %s "$operator_key" | sha256sum | cut -d' ' -f1)
gateways=()
gateway_pids=()
for i in 0 1 2; do
  cat >"$work/gateway-$i.ini" <<INI
[instance]
id = entry-$i
data_centre = ${dcs[i]}
callers = 127.0.0.1:0
peers = 127.0.0.1:0
[platform]
url = $platform
[keys]
cursor = demo-cursor-key-0123456789
peer = demo-peer-key-0123456789
operator_sha256 = $operator_hash
INI
  start "gateway-$i" bin/agatewayd --config "$work/gateway-$i.ini"
  gateways+=("$(field "gateway-$i" callers)")
  gateway_pids+=("${pids[-1]}")
done

join() { local IFS=,; echo "$*"; }
if ! bin/agateway demo --gateways "$(join "${gateways[@]}")" --engines "$(join "${engines[@]}")" \
  --service "$(field service address)" --operator-key "$operator_key" \
  --deployment examples/dala/brief-llm.json --deployment examples/dala/queue-app.json \
  --kill-engine "${engine_pids[0]}" --freeze-engine "${engine_pids[1]}" --kill-gateway "${gateway_pids[2]}"; then
  tail -n 20 "$work"/gateway-*.log >&2
  exit 1
fi
