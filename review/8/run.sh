#!/usr/bin/env bash
# Plays the case; see claim.txt. Exit codes: 0 the rule was kept, 1 it was broken, 2 the case could not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/agatewayd ] && [ -x target/standin-2 ] || exit 2
exec target/standin-2 -case shift -out review/8
