#!/bin/bash
# Runs the case; see claim.txt. TROUBLE=0 runs it without the disruption.
cd "$(dirname "$0")/../.."
program=target/review-2/case-10
if [ ! -x "$program" ] || [ ! -x target/release/lentilshift ]; then
    echo "build the release and run review/build-2.sh first"
    exit 2
fi
exec timeout --kill-after=2 115 "$program"
