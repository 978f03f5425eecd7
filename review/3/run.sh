#!/usr/bin/env bash
# 1: the rule was broken; 0: it held; 2: the case couldn't run. TROUBLE=0: the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/ambercluster ] && [ -x target/review/case3 ] || { echo "build the deploy file and review/build.sh first" >&2; exit 2; }
timeout --signal=TERM --kill-after=5 115 target/review/case3
status=$?
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
