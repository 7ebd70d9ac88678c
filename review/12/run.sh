#!/bin/bash
# Exits with 1 if the rule of claim.txt was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/jujubelead.jar ] && [ -f target/review-3/ForeignCopies.class ] || { echo "build first: see review/build-3.sh"; exit 2; }
exec timeout --kill-after=5 115 java -Xmx1g -cp target/review-3 ForeignCopies review/12/record.txt
