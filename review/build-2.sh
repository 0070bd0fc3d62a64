#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/6 to review/10 into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/rig-2 review/rig-2/*.go
