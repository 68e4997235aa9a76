#!/bin/sh
# Builds the stand-ins of all cases. They use no class of the project and no library but the JDK's.
set -eu
cd "$(dirname "$0")"
rm -rf classes
mkdir classes
javac -nowarn -d classes src/review/*.java
