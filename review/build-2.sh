#!/bin/bash
# Builds the stand-ins of the cases 6 to 10 with the standard library only; target/wagtaild comes from the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/driver review/driver-2/*.go
