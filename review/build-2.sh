#!/bin/sh
# Builds the stand-ins and the tests of the cases from review/6 on. Runs after the build of deploy/balancer.toml, which
# leaves cli/target/garnetreel.jar (with the project's own stand-ins) and cli/target/garnetreel-serve.jar. Without them
# Maven builds them from its local repository. No network is used.
set -eu
cd "$(dirname "$0")/.."
if [ ! -f cli/target/garnetreel.jar ] || [ ! -f cli/target/garnetreel-serve.jar ]; then
    mvn -o -q -B -DskipTests -pl cli -am package
fi
out=review/standins-2/target
rm -rf "$out"
mkdir -p "$out"
find review/standins-2 -name '*.java' >"$out/sources"
for n in 6 7 8 9 10; do
    [ ! -d "review/$n" ] || find "review/$n" -name '*.java' >>"$out/sources"
done
javac -nowarn -encoding UTF-8 -cp cli/target/garnetreel.jar -d "$out" "@$out/sources"
