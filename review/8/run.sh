#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out. Needs the build of deploy/system.toml and review/build-2.sh.
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.." || exit 2
[ -x target/weldstreamd ] && [ -x target/review2 ] || exit 2
exec target/review2 versions "$folder"
