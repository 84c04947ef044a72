#!/bin/sh
# Builds the stand-ins of review/stand-2 for the cases 6 to 10. Run from anywhere, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -Xlint:all -d target/review-2 review/stand-2/*.java
