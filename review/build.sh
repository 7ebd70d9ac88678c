#!/usr/bin/env bash
# Compiles the stand-ins of the cases. Needs the JDK only; run it after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -encoding UTF-8 -d target/review review/standins/*.java
