#!/bin/sh
# Builds what the scripts of the third review start beside the project's own program: target/driver-3. It needs no network.
set -eu
cd "$(dirname "$0")/.."
root=$(pwd)
mkdir -p target
cd review/driver-3
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -o "$root/target/driver-3" .
