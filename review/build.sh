#!/bin/sh
# Builds the stand-ins that the scripts of the review start. It needs no network.
cd "$(dirname "$0")/standin" || exit 2
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off GOTOOLCHAIN=local CGO_ENABLED=0 go build -trimpath -buildvcs=false -o ../bin/standin . || exit 2
