#!/usr/bin/env bash
# Builds the stand-ins that the scripts start, into target/. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/rig"
GOWORK=off go build -o ../../target/review-rig .
