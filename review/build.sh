#!/usr/bin/env bash
# Compiles the stand-ins of the cases into target/review; needs only the JDK.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
javac -encoding UTF-8 -d target/review review/stand-ins/*.java
