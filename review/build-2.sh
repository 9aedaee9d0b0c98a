#!/bin/sh
# Builds the stand-ins and drivers of the cases 6 to 10. Needs the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -encoding UTF-8 -cp 'target/entry/*' -d target/review-2 review/harness-2/*.java
