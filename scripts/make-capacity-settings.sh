#!/usr/bin/env bash
# Writes the settings files and the configuration of a fleet on loopback to a
# directory. The fleet has ROUTERS routers and AGENTS agents with two endpoints
# each, in 3 regions and 7 failure domains, and 310 customers.
set -euo pipefail
dir=${1:?usage: make-capacity-settings.sh DIRECTORY ROUTERS AGENTS ENGINES}
routers=${2:?} agents=${3:?} engines=${4:?}
operator=$(printf %s capacity-operator-key | sha256sum | cut -d' ' -f1)

common() { # role number id peer_port debug_port
  cat <<YAML
role: $1
id: $3
region: region-$(($2 % 3))
domain: domain-$(($2 % 7))
peer:
  listen: 127.0.0.1:$4
  advertise: 127.0.0.1:$4
debug_listen: 127.0.0.1:$5
platform_url: http://127.0.0.1:21000
plaintext: true
trace: none
YAML
}

for ((i = 0; i < routers; i++)); do
  {
    common router "$i" "$(printf 'router-%03d' "$i")" $((24000 + i)) $((24600 + i))
    cat <<YAML
caller_listen: 127.0.0.1:$((24200 + i))
operator_listen: 127.0.0.1:$((24400 + i))
operator_keys: ["sha256:$operator"]
ledger_shards: 2048
YAML
  } > "$dir/router-$i.yaml"
done

for ((i = 0; i < agents; i++)); do
  {
    common agent "$i" "$(printf 'agent-%03d' "$i")" $((22000 + i)) $((23000 + i))
    echo "ledger_shards: 2048"
    echo "endpoints:"
    for ((e = 0; e < 2; e++)); do
      echo "  - {id: endpoint-$i-$e, service: model-$((i % 4)), kind: model, url: 'http://127.0.0.1:$((21100 + i % engines))', slots: 32}"
    done
  } > "$dir/agent-$i.yaml"
done

{
  echo "defaults: {requests_per_second: 100000, burst: 100000, concurrency: 10000, quick_tokens: 500}"
  echo "services:"
  for ((i = 0; i < 4; i++)); do echo "  - {name: model-$i, kind: model}"; done
  echo "customers:"
  echo "  - {id: load, keys: ['sha256:$(printf %s capacity-caller-key | sha256sum | cut -d' ' -f1)'], services: [model-0, model-1, model-2, model-3]}"
  for ((i = 1; i < 310; i++)); do
    printf "  - {id: customer-%03d, keys: ['sha256:%064x'], services: [model-0, model-1, model-2, model-3]}\n" "$i" "$i"
  done
} > "$dir/fleet.yaml"
