#!/usr/bin/env bash
# Runs the capacity benchmarks, one package at a time and five times each, and
# writes their output to a file. The heap benchmarks run for one iteration only,
# because each iteration rebuilds the tables that it measures.
set -euo pipefail
out=${1:?usage: bench.sh OUTPUT}
module=$(go list -m)
: > "$out"
run() { # package pattern benchtime
  go test "$module/$1" -run '^$' -bench "$2" -benchtime "$3" -count 5 -timeout 20m | tee -a "$out"
}
run internal/daemon 'BudgetTables|ShardContents|ConfigurationRows|FleetRows|ExplainHistory|AgentRows' 1x
run internal/daemon 'IdleTick|RequestBudgets|RequestEndpoints|RequestCustomers|RequestRunning|AgentRun|Publish' 200x
run internal/daemon 'HeartbeatReceived|Configuration$' 100x
run internal/traffic/wire 'Frame' 100x
run internal/traffic/store 'LedgerShard' 10x
run internal/traffic/runner 'KeptAnswer' 1x
