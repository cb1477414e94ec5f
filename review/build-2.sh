#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/. They use the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
GOWORK=off GOTOOLCHAIN=local go build -o target/standin-2 review/standin-2/*.go
