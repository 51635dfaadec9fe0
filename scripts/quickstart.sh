#!/usr/bin/env bash
# Starts a small fleet on loopback, makes one streamed request and one plain
# service call, prints the budgets and the routing decisions, and shuts all
# processes down gracefully. KEEP=1 keeps the fleet running until Ctrl-C.
set -euo pipefail
cd "$(dirname "$0")/.."
dir=$(mktemp -d)
pids=()
names=()

start() { # name command...
  local name=$1
  shift
  "$@" > "$dir/$name.log" 2>&1 &
  pids+=($!)
  names+=("$name")
}

# Stops processes in reverse order of their start and waits for each: routers,
# then agents, then the fake back ends and platform. This way each process can
# still reach what it needs to finish its work.
stop() {
  local code=0
  trap - EXIT INT TERM
  for ((i = ${#pids[@]} - 1; i >= 0; i--)); do
    kill -TERM "${pids[$i]}" 2>/dev/null || true
    wait "${pids[$i]}" || { echo "${names[$i]} exited with status $?; log: $dir/${names[$i]}.log" >&2; code=1; }
  done
  [ "$code" = 0 ] && echo "all processes exited gracefully"
  return "$code"
}
trap 'stop; exit 1' INT TERM
trap 'code=$?; stop || code=1; exit $code' EXIT

export LABURNUM_OPERATOR=http://127.0.0.1:17501
export LABURNUM_CALLER=http://127.0.0.1:17401
export LABURNUM_OPERATOR_KEY=demo-operator-key
export LABURNUM_CALLER_KEY=demo-key-accra-central
ctl=bin/laburnumctl

scripts/make-quickstart-settings.sh "$dir"
start platform bin/laburnumfake platform -listen 127.0.0.1:17000
for n in 1 2 3; do
  start "engine-$n" bin/laburnumfake engine -listen 127.0.0.1:$((17100 + n))
done
start service-4 bin/laburnumfake service -listen 127.0.0.1:17104
for n in 1 2 3 4; do start "agent-$n" bin/laburnumroadd run -settings "$dir/agent-$n.yaml"; done
for d in a b c; do start "router-$d" bin/laburnumroadd run -settings "$dir/router-$d.yaml"; done

# Repeats a command until it succeeds. Exits with an error if it still fails after
# the given time.
wait_for() { # seconds command...
  local tries=$(($1 * 5))
  shift
  until "$@" > "$dir/wait.log" 2>&1; do
    tries=$((tries - 1))
    if [ "$tries" -le 0 ]; then echo "timed out waiting for: $*" >&2; cat "$dir/wait.log" >&2; exit 1; fi
    sleep 0.2
  done
}
# Succeeds when all three routers and four agents are live and enforce
# configuration generation 1, and all four endpoints are live.
ready() {
  local status
  status=$($ctl status)
  [ "$(grep -cE '^(router|agent)-.* live +1 +false' <<<"$status")" -eq 7 ] &&
    [ "$(grep -cE '^(tutor-model|classroom-app)-.* live ' <<<"$status")" -eq 4 ]
}

$ctl validate examples/sankofa.yaml
$ctl validate examples/guild.yaml
wait_for 30 $ctl status
$ctl apply examples/sankofa.yaml
$ctl customer topup accra-central 20000
wait_for 30 ready
echo "--- status"
$ctl status
echo "--- streamed model response"
$ctl generate -max 40 -key quickstart-answer tutor-model "Review the clip: lips closed, corners lifted"
echo "--- plain service call"
$ctl call -key quickstart-booking classroom-app bookings '{"class":"friday"}'
echo "--- budgets"
$ctl budgets accra-central
echo "--- explanation of the routing decisions"
$ctl explain accra-central/quickstart-answer
if [ "${KEEP:-}" = 1 ]; then
  echo "the fleet is running; settings, logs and traces are in $dir; press Ctrl-C to stop"
  trap 'exit 0' INT TERM
  while :; do sleep 1; done
fi
