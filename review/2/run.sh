#!/usr/bin/env bash
# Plays the case and writes record.txt: exit code 1 if the rule was broken, 0 if it held, 2 if the case could
# not run. TROUBLE=0 leaves the disruption out. Needs the build of deploy/system.toml and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/winchhead ] || { echo "target/winchhead is missing: run the build of deploy/system.toml" >&2; exit 2; }
[ -x target/review-standin ] || bash review/build.sh || exit 2
exec target/review-standin configuration review/2
