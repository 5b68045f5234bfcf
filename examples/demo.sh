#!/usr/bin/env bash
# The demo: three daemons in three failure domains, four engines, a plain
# service and the platform. It streams an answer, kills the engine in the
# middle of a second one, and stops all that it started.
set -euo pipefail
cd "$(dirname "$0")/.."
run=$(mktemp -d)
pids=()
stop() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$run"
}
trap stop EXIT

export WELDCTL_TOKEN=demo-operator-token WELDSTREAM_KEY=demo-key-clerk
declare -A engine_pid engine_control

# begin NAME PROGRAM ARGS...: starts a stand-in and waits for its addresses.
begin() {
  local name=$1; shift
  bin/weldstandin "$@" >"$run/$name.out" 2>"$run/$name.err" &
  pids+=("$!"); last_pid=$!
  until [ -s "$run/$name.out" ]; do sleep 0.05; done
  address=$(sed -n 's/.*listen=\([^ ]*\).*/\1/p' "$run/$name.out")
  control=$(sed -n 's/.*control=\([^ ]*\).*/\1/p' "$run/$name.out")
}

begin platform platform
platform=$address; platform_control=$control
instances=""
for i in 1 2 3 4; do
  zone=zone-$(echo abcd | cut -c "$i")
  begin "engine-$i" engine -id "engine-$i" -models docket-8b -adapters arraignment -token-time 25ms
  engine_pid[engine-$i]=$last_pid; engine_control[engine-$i]=$control
  instances+="{\"id\":\"engine-$i\",\"kind\":\"engine\",\"address\":\"$address\",\"domain\":\"$zone\",\"class\":\"gpu-small\"},"
done
begin portal service -id portal-1
instances+="{\"id\":\"portal-1\",\"kind\":\"service\",\"service\":\"portal\",\"address\":\"$address\",\"domain\":\"zone-a\"}"
curl -sf -X POST "http://$platform_control/setup" -d "{\"instances\":[$instances]}"

echo "demo-cluster-key-0123456789" >"$run/cluster.key"
operator=$(printf %s "$WELDCTL_TOKEN" | sha256sum | cut -d' ' -f1)
peers=""
for i in 1 2 3; do
  cat >"$run/entry-$i.yaml" <<YAML
name: entry-$i
domain: zone-$(echo abc | cut -c "$i")
caller: 127.0.0.1:0
peer: 127.0.0.1:0
admin: 127.0.0.1:0
data_dir: $run/entry-$i
cluster:
  key_file: $run/cluster.key
  operator_sha256: [$operator]
  replicas: [entry-1, entry-2, entry-3]
  peers: [$peers]
platform:
  address: $platform
YAML
  bin/weldstreamd -settings "$run/entry-$i.yaml" 2>"$run/entry-$i.log" &
  pids+=("$!")
  until grep -q '"message":"serving"' "$run/entry-$i.log"; do sleep 0.05; done
  line=$(grep '"message":"serving"' "$run/entry-$i.log")
  peer=$(sed 's/.*"peer":"\([^"]*\)".*/\1/' <<<"$line")
  caller=$(sed 's/.*"caller":"\([^"]*\)".*/\1/' <<<"$line")
  admin=$(sed 's/.*"admin":"\([^"]*\)".*/\1/' <<<"$line")
  peers+="{name: entry-$i, address: \"$peer\"},"
done

until [ "$(bin/weldctl get -admin "$admin" | grep -c 'alive')" = 3 ]; do sleep 0.05; done

echo "== apply the configuration of examples/baton-rouge"
bin/weldctl apply -admin "$admin" -number 1 -wait 20s examples/baton-rouge
until curl -sf "http://$caller/readyz" >/dev/null; do sleep 0.05; done
bin/weldctl get -admin "$admin"

echo "== stream an answer"
bin/weldctl send -caller "$caller" -model docket-summary -max-tokens 24 "Summarize the morning docket of division C"

echo "== stream a second one and kill its engine in the middle"
bin/weldctl send -caller "$caller" -model arraignment-draft -max-tokens 60 "Draft the arraignment list" >"$run/second.txt" &
send=$!
victim=""
until [ -n "$victim" ]; do
  for e in "${!engine_control[@]}"; do
    if curl -sf "http://${engine_control[$e]}/stats" | grep -q '"running":1'; then victim=$e; fi
  done
done
sleep 0.5
kill -9 "${engine_pid[$victim]}"
echo "   killed $victim"
wait "$send"
wait "${engine_pid[$victim]}" 2>/dev/null || true
cat "$run/second.txt"
words=$(wc -w <"$run/second.txt")
# Each token ends with its offset, so order and gaps are visible.
order=$(tr ' ' '\n' <"$run/second.txt" | sed -n 's/.*\.//p' | awk '$1 != NR - 1 { bad = 1 } END { print bad ? "NOT in order" : "each once and in order" }')

echo "== a call of the plain service that must run at most once"
bin/weldctl send -caller "$caller" -once -idempotency-key demo-notice-1 -service portal/notices "continuance 24-CR-117"

echo "== summary"
echo "   second answer: $words of 60 tokens arrived, $order, although $victim was killed in mid-stream"
bin/weldctl dump -admin "$admin"
