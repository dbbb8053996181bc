#!/usr/bin/env bash
# Plays the case "crash-counts". TROUBLE=0 leaves out the disruption. Exits with 1 if the rule was broken, 0 if it held, 2 if the
# case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/wagtaild ] && [ -x review/bin/driver ] || exit 2
exec review/bin/driver crash-counts review/5
