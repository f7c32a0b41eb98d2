#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 from review/stand-ins-2 into target/review-2. Needs a JDK 17 only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -encoding UTF-8 -nowarn -d target/review-2 review/stand-ins-2/*.java
