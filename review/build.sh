#!/usr/bin/env bash
# Builds the driver of the cases. It holds the clients, the backends and the store that the scripts use.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o review/bin/driver ./review/driver/*.go
