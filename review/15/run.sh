#!/usr/bin/env bash
# Plays the case; exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/standin-3 ] || exit 2
# At the time limit, the signal ends the stand-ins and all nodes.
timeout -s KILL 118 target/review-3/standin-3 15 review/15
result=$?
[ $result -le 2 ] || result=2
exit $result
