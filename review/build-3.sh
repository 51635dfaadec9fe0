#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/11 to review/15 start. Run it after the
# build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-driver3 ./review/driver3
