#!/bin/sh
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")" || exit 2
rig=../rig-2/bin/rig-2
[ -x "$rig" ] && [ -x ../../bin/oatfold ] || { echo "build first: the deploy file's build, then review/build-2.sh"; exit 2; }
exec "$rig" upgrade-rest-burst .
