#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
exec java -Xmx1g -Dreview.root="$PWD" -Dreview.folder="$PWD/review/10" \
    -cp review/standins-2/target:cli/target/garnetreel.jar Case10
