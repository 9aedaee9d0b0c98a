#!/usr/bin/env bash
# Builds the stand-ins and checks of review/11 to review/15. Needs a JDK only.
set -eu
cd "$(dirname "${BASH_SOURCE[0]}")/.."
rm -rf target/review-3
mkdir -p target/review-3
javac -encoding UTF-8 -d target/review-3 review/harness-3/*.java
