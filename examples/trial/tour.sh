#!/usr/bin/env bash
# Kills an entry while keyed requests are in flight, and shows that no transfer
# runs twice. Starts its own processes on 127.0.0.1 and ends only these.
set -euo pipefail
cd "$(dirname "$0")/../.."
work=$(mktemp -d)
pids=()
end() {
    kill "${pids[@]}" 2>/dev/null || true
    rm -rf "$work"
}
trap end EXIT

go build -o "$work/persimmonbay" ./cmd/persimmonbay
p="$work/persimmonbay"
begin() { # LOG COMMAND...: starts a process and waits until it listens
    local log=$work/$1.log
    shift
    "$@" 2>"$log" &
    pids+=($!)
    until grep -q '"msg":"listening"' "$log"; do sleep 0.1; done
}
begin platform "$p" standin platform -listen 127.0.0.1:9000
for i in 1 2; do
    begin "transfers-$i" "$p" standin upstream -platform http://127.0.0.1:9000 -service transfers \
        -id "transfers-$i" -listen "127.0.0.1:904$i" -slow 20
done
for i in 1 2 3; do
    begin "entry-$i" "$p" entry -config "examples/trial/entry-$i.yaml"
done
victim=${pids[3]} # entry-1

export PERSIMMONBAY_OPERATOR=127.0.0.1:9022 PERSIMMONBAY_TOKEN=trial-operator-token-not-for-use
"$p" config generate examples/registry/answers.yaml >"$work/fleet.yaml"
"$p" config apply -base 0 "$work/fleet.yaml"
until "$p" status | awk 'NR>1 && $3=="true" && $6>0' | wc -l | grep -qx 3; do sleep 0.1; done
"$p" status

transfer() { # ENTRY KEY: sends one request and prints its outcome
    curl -s -m 5 -o /dev/null -D - -X POST -d 'ewe 12' -H 'Persimmonbay-Team: herders' \
        -H "Idempotency-Key: $2" "http://127.0.0.1:901$1/transfers/transfers" |
        tr -d '\r' | sed -n 's/^Persimmonbay-Outcome: //p'
}
until "$p" pool list | awk '$1=="transfers" && $3==2' | grep -q .; do sleep 0.1; done
echo "60 transfers, each asked through every entry; entry-1 is killed on the way"
for n in $(seq 60); do
    key=$("$p" request key)
    for entry in 1 2 3; do
        transfer "$entry" "$key" >>"$work/outcomes" &
        asked[entry]=$!
    done
    [ "$n" = 20 ] && kill -9 "$victim"
    for entry in 1 2 3; do wait "${asked[entry]}" || true; done
done
echo "outcomes told (an entry that is gone tells none):"
sort "$work/outcomes" | uniq -c
echo "how often the work under a key was done, at both upstreams (times, keys):"
for i in 1 2; do curl -s "http://127.0.0.1:904$i/standin/executions"; done |
    grep -o '"count":[0-9]*' | cut -d: -f2 | sort | uniq -c | awk '{print $2, $1}'
"$p" status
