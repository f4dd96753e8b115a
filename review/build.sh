#!/bin/sh
# Builds the stand-ins that the scripts run.sh start. Needs the JDK only; run after the build of the deploy file.
set -e
cd "$(dirname "$0")"
rm -rf target
mkdir -p target
javac --release 17 -d target standins/*.java
