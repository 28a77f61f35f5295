#!/bin/bash
# Builds the stand-ins and the drivers of the cases into review/out with the JDK alone.
set -euo pipefail
cd "$(dirname "$0")"
rm -rf out
mkdir -p out
javac -nowarn --release 17 -d out standin/*.java [0-9]/*.java
