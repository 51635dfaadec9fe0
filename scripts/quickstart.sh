#!/usr/bin/env bash
# Starts a small fleet on loopback, makes one streamed request and one booking,
# shows the bill and the explanation, and stops everything gracefully.
# KEEP=1 leaves the fleet up until Ctrl-C.
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

# Routers end first, then agents, then the stand-ins: each finishes its work.
stop() {
  local code=0
  trap - EXIT INT TERM
  for ((i = ${#pids[@]} - 1; i >= 0; i--)); do
    kill -TERM "${pids[$i]}" 2>/dev/null || true
    wait "${pids[$i]}" || { echo "${names[$i]} ended with status $?; log: $dir/${names[$i]}.log" >&2; code=1; }
  done
  [ "$code" = 0 ] && echo "all processes ended gracefully"
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

wait_for() { # seconds command...
  local tries=$(($1 * 5))
  shift
  until "$@" > "$dir/wait.log" 2>&1; do
    tries=$((tries - 1))
    if [ "$tries" -le 0 ]; then echo "gave up waiting for: $*" >&2; cat "$dir/wait.log" >&2; exit 1; fi
    sleep 0.2
  done
}
# Three routers and four agents are live and enforce the configuration, and
# their four endpoints are live.
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
echo "--- one streamed answer"
$ctl generate -max 40 -key quickstart-answer tutor-model "Review the clip: lips closed, corners lifted"
echo "--- one booking"
$ctl call -key quickstart-booking classroom-app bookings '{"class":"friday"}'
echo "--- the bill"
$ctl budgets accra-central
echo "--- why the answer went where it went"
$ctl explain accra-central/quickstart-answer
if [ "${KEEP:-}" = 1 ]; then
  echo "the fleet is up; settings, logs and traces are in $dir; press Ctrl-C to stop"
  trap 'exit 0' INT TERM
  while :; do sleep 1; done
fi
