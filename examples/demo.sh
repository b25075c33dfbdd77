#!/usr/bin/env bash
# A small fleet on this machine: a stand-in platform, 4 stand-in engines, a stand-in plain service and 3 daemons, all
# separate processes. Shows a streamed chat answer, an order that is booked once though it is sent twice through two
# instances, and an engine drained while streams go on. Ends everything it started.
set -euo pipefail
cd "$(dirname "$0")/.."

export SEQUOIASTREAM_OPERATOR_TOKEN=demo-operator-token
export SEQUOIASTREAM_CLUSTER_KEY=demo-cluster-key-demo
# Callers of the demo keep no address, so that the daemons need not serve on for long when they are stopped.
export SEQUOIASTREAM_KEEP_MS=200 SEQUOIASTREAM_MARGIN_MS=100 SEQUOIASTREAM_REFUSE_MS=100
export RUST_LOG=${RUST_LOG:-warn}
key=demo-key

cargo build --quiet --workspace --bins
bin=$(pwd)/target/debug
work=$(mktemp -d)
pids=()

finish() {
    for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
    wait
    rm -rf "$work"
}
trap finish EXIT

# start NAME COMMAND...: starts a process and waits until it says where it listens; its address is in $address.
start() {
    local name=$1
    shift
    "$@" >"$work/$name.out" 2>"$work/$name.log" &
    pids+=($!)
    for _ in $(seq 200); do
        address=$(sed -n 's/^listening //p' "$work/$name.out")
        [ -n "$address" ] && return
        sleep 0.05
    done
    echo "error: $name did not start" >&2
    cat "$work/$name.log" >&2
    exit 1
}

say() { printf '\n== %s\n' "$*"; }

say "Starting the platform, 4 engines and a plain service"
start platform "$bin/sequoiastream-standin" platform
platform=http://$address
config="create product demo key \"$key\" share 60;
create service assistente model \"ghiaccio-7b\";
create service registro plain route GET \"/\" safe route POST \"/ordini\" never;"
for i in 1 2 3 4; do
    start "engine-$i" "$bin/sequoiastream-standin" engine --decode-rate 30
    config+="
place engine e$i service assistente zone lodi-a address $address fencing checked;"
done
start registro "$bin/sequoiastream-standin" plain
registro=http://$address
config+="
place engine r1 service registro zone lodi-a address $address;"

say "Starting 3 daemons"
servers=()
for i in 1 2 3; do
    peer=127.0.0.1:$((20000 + RANDOM % 10000))
    start "daemon-$i" "$bin/sequoiastreamd" --name "i$i" --zone lodi-a --listen 127.0.0.1:0 --peer "$peer" \
        --platform "$platform" --keep-ms 1000 --margin-ms 200 --refuse-ms 100
    servers+=("http://$address")
    curl -sf -X PUT "$platform/control/list/instances" -H 'content-type: application/json' \
        -d "{\"name\":\"i$i\",\"zone\":\"lodi-a\",\"address\":\"$address\",\"peer\":\"$peer\",\"state\":\"live\"}"
done
export SEQUOIASTREAM_SERVER=${servers[0]}

say "sequoiastream apply - (the configuration, all or nothing)"
"$bin/sequoiastream" apply --wait - <<<"$config"
for server in "${servers[@]}"; do
    until [ "$(curl -s "$server/version")" -ge 1 ] && curl -sf "$server/readyz" >/dev/null; do sleep 0.05; done
    # Until they have heard of each other, two instances may differ about who owns an order's claim; the repeat below
    # would then be told to come back (409) for a moment instead of the answer.
    until [ "$("$bin/sequoiastream" --server "$server" query show instances where state = live | wc -l)" -eq 4 ]; do
        sleep 0.05
    done
done

chat() { # chat SERVER TOKENS: a streamed chat request
    curl -sN "$1/v1/chat/completions" -H "authorization: Bearer $key" -H 'content-type: application/json' -d '{
        "model": "ghiaccio-7b", "stream": true, "max_tokens": '"$2"', "seed": 7,
        "messages": [{"role": "user", "content": "How many kilos of pellets for 40 boxes?"}]}'
}

say "A streamed chat answer (the stand-in model writes made-up words)"
chat "${servers[1]}" 6 | sed -n 's/^data: //p' | cut -c1-150

say "An order, sent twice under one idempotency key through two instances"
id=$("$bin/sequoiastream-standin" uuid)
for server in "${servers[0]}" "${servers[2]}"; do
    curl -s -X POST "$server/services/registro/ordini" -H "authorization: Bearer $key" \
        -H "idempotency-key: $id" -d '{"pellets": 40}' -w '  (status %{http_code}, outcome %header{sequoiastream-outcome})\n'
done
echo "runs at the plain service: $(curl -s "$registro/control/runs")"

say "Draining engine e1 while 8 streams go on"
for i in $(seq 8); do chat "${servers[$((i % 3))]}" 60 >"$work/stream-$i" & streams+=($!); done
sleep 0.5
"$bin/sequoiastream" query drain engine e1
wait "${streams[@]}"
echo "whole answers: $(grep -l '"outcome":"whole"' "$work"/stream-* | wc -l) of 8"

say "sequoiastream status"
"$bin/sequoiastream" status
