#!/usr/bin/env bash
# Plays the case: exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't
# run. With TROUBLE=0 there is no disruption. review/build-3.sh must have been run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/rig-3/rig3 ] && [ -x target/greengagedockd ] || exit 2
exec target/rig-3/rig3 long-changes review/13/record.txt
