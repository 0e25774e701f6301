#!/bin/sh
# Needs the build of the deploy file and review/build-2.sh. See claim.txt.
cd "$(dirname "$0")/../.." || exit 2
record=review/6/record.txt
[ -x target/release/oleanderpostd ] && [ -x target/review-2/standin ] || exit 2
target/review-2/standin endless-answer "$record"
status=$?
# Ends what an interrupted run has left.
for pid in $(sed -n 's/.* starts (process \([0-9]*\)).*/\1/p' "$record"); do
	case "$(tr '\0' ' ' 2>/dev/null </proc/"$pid"/cmdline)" in
	"target/release/oleanderpostd entry "*) kill -9 "$pid" ;;
	esac
done
[ "$status" -le 2 ] || status=2
exit "$status"
