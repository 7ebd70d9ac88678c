#!/usr/bin/env bash
# Builds the stand-ins and the checks of the cases 6 to 10, after the build of deploy/system.toml. Needs a JDK only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -nowarn -d target/review-2 review/lib-2/*.java
