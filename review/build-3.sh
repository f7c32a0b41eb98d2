#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 from review/stand-ins-3 into target/review-3. Needs a JDK 17 only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
javac -encoding UTF-8 -d target/review-3 review/stand-ins-3/*.java
