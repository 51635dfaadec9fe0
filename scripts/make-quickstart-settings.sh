#!/usr/bin/env bash
# Writes the settings files of the quickstart fleet to a directory: three routers
# in three failure domains and four agents with one endpoint each.
set -euo pipefail
dir=${1:?usage: make-quickstart-settings.sh DIRECTORY}
# SHA-256 of "demo-operator-key".
operator=$(printf %s demo-operator-key | sha256sum | cut -d' ' -f1)

common() { # id domain peer_port debug_port
  cat <<YAML
id: $1
region: accra
domain: $2
peer:
  listen: 127.0.0.1:$3
  advertise: 127.0.0.1:$3
debug_listen: 127.0.0.1:$4
platform_url: http://127.0.0.1:17000
plaintext: true
trace: $dir/trace-$1.json
YAML
}

n=0
for domain in a b c; do
  n=$((n + 1))
  {
    echo "role: router"
    common "router-$domain" "$domain" $((17300 + n)) $((17600 + n))
    cat <<YAML
caller_listen: 127.0.0.1:$((17400 + n))
operator_listen: 127.0.0.1:$((17500 + n))
operator_keys: ["sha256:$operator"]
YAML
  } > "$dir/router-$domain.yaml"
done

agent() { # number domain service kind slots
  {
    echo "role: agent"
    common "agent-$1" "$2" $((17310 + $1)) $((17610 + $1))
    cat <<YAML
endpoints:
  - id: $3-$1
    service: $3
    kind: $4
    url: http://127.0.0.1:$((17100 + $1))
    slots: $5
YAML
  } > "$dir/agent-$1.yaml"
}
agent 1 a tutor-model model 8
agent 2 b tutor-model model 8
agent 3 c tutor-model model 8
agent 4 a classroom-app plain 32
