#!/bin/bash
# Builds the stand-ins and the drivers of the cases 4 to 6. Needs the JDK only.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -nowarn --release 17 -d target/review-2 review/standin-2/*.java
