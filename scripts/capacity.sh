#!/usr/bin/env bash
# Measures the resources that a fleet on loopback uses for control, idle and
# under load, and stops all processes that it started. Usage:
#   scripts/capacity.sh [ROUTERS] [AGENTS] [RATE] [SECONDS]
# The environment variable RUNS sets the number of repetitions (default 1).
set -euo pipefail
cd "$(dirname "$0")/.."
routers=${1:-6} agents=${2:-24} rate=${3:-50} seconds=${4:-10} runs=${RUNS:-1}
# Limits of the shared machine that the measurements run on.
max_processes=360
max_memory_kb=$((16 << 20))
engines=$((agents < 4 ? agents : 4))
if [ $((routers + agents + engines + 1)) -gt "$max_processes" ]; then
  echo "the fleet needs more than the maximum of $max_processes processes" >&2
  exit 1
fi
dir=$(mktemp -d)
pids=()

start() { # name command...
  local name=$1
  shift
  "$@" > "$dir/$name.log" 2>&1 &
  pids+=($!)
}

# Terminates all processes in parallel and kills those that are still running
# after 20 s.
stop() {
  trap - EXIT INT TERM
  [ ${#pids[@]} -eq 0 ] || kill -TERM "${pids[@]}" 2>/dev/null || true
  local tries=100
  for pid in "${pids[@]}"; do
    while kill -0 "$pid" 2>/dev/null && [ "$tries" -gt 0 ]; do
      tries=$((tries - 1))
      sleep 0.2
    done
    kill -KILL "$pid" 2>/dev/null || true
  done
  rm -rf "$dir"
}
trap 'stop; exit 1' INT TERM
trap 'code=$?; stop; exit $code' EXIT

export LABURNUM_OPERATOR_KEY=capacity-operator-key
export LABURNUM_CALLER_KEY=capacity-caller-key

# Prints a comma-separated list of loopback URLs with consecutive ports.
url_list() { # first_port count
  local urls=()
  for ((i = 0; i < $2; i++)); do urls+=("http://127.0.0.1:$(($1 + i))"); done
  local IFS=,
  echo "${urls[*]}"
}

# Prints the total resident memory of all processes in KiB.
memory_kb() {
  local sum=0 kb
  for pid in "${pids[@]}"; do
    kb=$(awk '/^VmRSS/ {print $2}' "/proc/$pid/status" 2>/dev/null || echo 0)
    sum=$((sum + ${kb:-0}))
  done
  echo "$sum"
}

scripts/make-capacity-settings.sh "$dir" "$routers" "$agents" "$engines"
start platform bin/laburnumfake platform -listen 127.0.0.1:21000
for ((i = 0; i < engines; i++)); do
  start "engine-$i" bin/laburnumfake engine -listen 127.0.0.1:$((21100 + i)) -batch 4096 -max-active 4096 -prefill-pace 1us
done
for ((i = 0; i < agents; i++)); do
  start "agent-$i" bin/laburnumroadd run -settings "$dir/agent-$i.yaml"
  echo "agent-$i agent 127.0.0.1:$((23000 + i)) ${pids[-1]}" >> "$dir/daemons"
done
for ((i = 0; i < routers; i++)); do
  start "router-$i" bin/laburnumroadd run -settings "$dir/router-$i.yaml"
  echo "router-$i router 127.0.0.1:$((24600 + i)) ${pids[-1]}" >> "$dir/daemons"
done

bin/laburnumload prepare -operators "$(url_list 24400 "$routers")" -config "$dir/fleet.yaml" \
  -budgets 20 -agents "$agents" -wait 120s
used=$(memory_kb)
echo "## $routers routers, $agents agents: $((used / 1024)) MiB resident in total"
if [ "$used" -gt "$max_memory_kb" ]; then
  echo "the fleet uses more than the maximum of $max_memory_kb KiB of memory" >&2
  exit 1
fi

for ((run = 1; run <= runs; run++)); do
  sleep 5
  echo "### idle, run $run: $(cut -d' ' -f1 /proc/loadavg) load average of the host"
  bin/laburnumload observe -daemons "$dir/daemons" -interval "${seconds}s"
  echo "### $rate requests/s, run $run: $(cut -d' ' -f1 /proc/loadavg) load average of the host"
  bin/laburnumload send -callers "$(url_list 24200 "$routers")" -services model-0,model-1,model-2,model-3 \
    -budgets 20 -rate "$rate" -duration $((seconds + 6))s -timeout 40s -seed "$run" > "$dir/send.out" &
  sender=$!
  sleep 3
  bin/laburnumload observe -daemons "$dir/daemons" -interval "${seconds}s"
  wait "$sender"
  cat "$dir/send.out"
done
