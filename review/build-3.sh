#!/usr/bin/env bash
# Builds the program that plays the scripted cases of the third review: entries are started as
# processes, and stand-ins of the store, runners and clients run in it.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/rig-3
go build -C review/rig-3 -o ../../target/rig-3/rig3 .
