#!/usr/bin/env bash
# Builds the program that plays the cases, with its stand-ins of the store, the workers and
# the clients, to target/.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review-driver ./review/driver
