#!/bin/sh
# Builds the stand-ins of the cases, with the compiler alone; run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
javac -Xlint:all,-serial -d target/review review/stand/*.java
