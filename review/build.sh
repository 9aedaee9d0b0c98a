#!/bin/sh
# Builds the stand-ins that the cases start. Needs only the JDK that the project is built with.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -d target/review review/harness/*.java
