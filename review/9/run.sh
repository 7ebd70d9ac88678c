#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the entry out.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
[ -f "$root/target/review-2/OddKey.class" ] && [ -f "$root/target/jujubelead.jar" ] || exit 2
exec java -XX:+UseSerialGC -Xmx512m -cp "$root/target/review-2" OddKey "$root" "$here"
