#!/usr/bin/env bash
# Plays the case once. Exit code 1: the rule was broken, 0: it held, 2: the case could not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
timeout -k 3 110 review/bin/rig -case stuck -record "review/2/record.txt"
code=$?
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
