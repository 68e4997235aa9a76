#!/usr/bin/env bash
# Builds the stand-ins of the second review's cases. Needs the JDK alone, and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -encoding UTF-8 -d target/review-2 review/src-2/*.java
