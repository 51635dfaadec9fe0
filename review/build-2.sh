#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10: one program with the platform's store, the
# workers, the clients and the course of each case.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review-2/driver ./review/driver2
