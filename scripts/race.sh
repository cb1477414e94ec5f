#!/usr/bin/env bash
# Runs tests with the race detector. The detector's own runtime has ended runs of tests in virtual time, with no
# test failed and no race reported: "ThreadSanitizer: CHECK failed" in cli/e2e, and a segmentation fault outside
# Go code in gateway/front. Such a run says nothing about the tests, so it is made again, five times at the most.
# A failed test, a race or a Go panic (which reports its own segmentation faults as one) fails at once.
set -uo pipefail
out=$(mktemp)
trap 'rm -f "$out"' EXIT
for try in 1 2 3 4 5; do
	go test -race -count=1 -timeout 10m -vet=off -skip "$(./scripts/known-red.sh 2>/dev/null)" "$@" >"$out" 2>&1
	rc=$?
	grep -E '^(ok|FAIL|---|    ---|\?|panic)|WARNING: DATA RACE|_test\.go:|ThreadSanitizer|^SIGSEGV' "$out"
	[ "$rc" -eq 0 ] && exit 0
	if grep -qE '^ *--- FAIL|WARNING: DATA RACE|^panic:' "$out" || ! grep -qE 'ThreadSanitizer: CHECK failed|^SIGSEGV: segmentation violation' "$out"; then
		cat "$out"
		exit 1
	fi
	echo "the race detector ended the run by itself (try $try); running these tests again"
done
exit 1
