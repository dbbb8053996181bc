#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/driver-3 ] && [ -x target/wagtaild ] || exit 2
exec target/driver-3 tenants "review/14/record.txt"
