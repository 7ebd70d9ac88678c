#!/bin/bash
# Builds the stand-ins of the cases 11 to 15 with the JDK alone. Run it after the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
javac -Xlint:all -d target/review-3 review/lib-3/*.java
