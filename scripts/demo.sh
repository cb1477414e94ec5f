#!/usr/bin/env bash
# Runs the whole system on one machine: a platform, six engines, a plain service and three
# instances, each as its own process. Injects faults while answers are in flight and checks every
# answer. The kernel assigns the ports. On exit, all processes that were started are ended by id.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/lib.sh

start platform bin/agateway standin platform --lag 500ms
platform="http://$(field platform address)"
dcs=(alm-hall-a alm-hall-b shym-hall)
engines=()
engine_pids=()
for i in 0 1 2 3 4 5; do
  start "engine-$i" bin/agateway standin engine --id "engine-$i" --service brief-llm --model brief@1 \
    --data-centre "${dcs[i % 3]}" --platform "$platform" --interval 15ms --slots 48
  engines+=("$(field "engine-$i" address)")
  engine_pids+=("${pids[-1]}")
done
start service bin/agateway standin service --id queue-app-0 --service queue-app --data-centre alm-hall-a --platform "$platform"

operator_key="demo-operator-key"
gateways=()
gateway_pids=()
for i in 0 1 2; do
  start "gateway-$i" bin/agatewayd --config "$(settings "entry-$i" "${dcs[i]}" "$platform" "$operator_key")"
  gateways+=("$(field "gateway-$i" callers)")
  gateway_pids+=("${pids[-1]}")
done

if ! bin/agateway demo --gateways "$(join "${gateways[@]}")" --engines "$(join "${engines[@]}")" \
  --service "$(field service address)" --operator-key "$operator_key" \
  --deployment examples/dala/brief-llm.json --deployment examples/dala/queue-app.json \
  --kill-engine "${engine_pids[0]}" --freeze-engine "${engine_pids[1]}" --kill-gateway "${gateway_pids[2]}" --pause-gateway "${gateway_pids[1]}"; then
  tail -n 20 "$work"/gateway-*.log >&2
  exit 1
fi
