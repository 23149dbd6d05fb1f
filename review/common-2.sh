# Functions of the scripts of cases 6 to 8.

# Writes the scenario to $1. The figures are those of the sheet of the site;
# variables that a case has set before replace them.
write_scenario() {
    cat >"$1" <<JSON
{"zones": ["sando", "couva", "penal"],
 "engines": ${ENGINES:-18}, "desks": ${DESKS:-3},
 "memory_mib": ${MEMORY_MIB:-260},
 "host": "ficu95.example", "stream_path": "/lohu930/", "call_path": "/puxa403/",
 "handle_field": "kvHandle",
 "engine_entry": {"service": "card-writer", "version": "v1", "slots": 64,
  "state": "ready", "coldLeftMs": 0, "stage": "decode",
  "models": [{"name": "m", "version": 1, "adapters": []}],
  "born": 1700000000000},
 "desk_entry": {"service": "press-desk", "version": "v1", "slots": 6,
  "state": "ready", "coldLeftMs": 0, "born": 1700000000000},
 "config": {"version": 7,
  "routes": [
   {"name": "r-1", "host": "ficu95.example", "pathPrefix": "/lohu930/",
    "routeType": "stream", "timeoutMs": ${STREAM_MS:-6000},
    "targetLatencyMs": 500, "priority": 0, "service": "card-writer",
    "maxAttempts": 2, "sticky": true, "resumable": true, "gapTargetMs": 200},
   {"name": "r-2", "host": "ficu95.example", "pathPrefix": "/puxa403/",
    "routeType": "non_idempotent", "timeoutMs": ${CALL_MS:-1000},
    "targetLatencyMs": 150, "priority": 2, "service": "press-desk",
    "maxAttempts": 1, "sticky": false, "resumable": false}],
  "services": [
   {"name": "card-writer", "healthPath": "/health", "maxConns": 370,
    "protocol": "h1", "tls": false,
    "engine": {"slots": 64, "kvTokenCapacity": 460805, "tokenKvBytes": 163840,
     "linkMbps": 1600000.0, "moves": true, "backups": true, "stride": 12,
     "most": 12, "handleTtlS": 5.0, "stageSwitchS": 3.0, "pinMs": 4000.0,
     "holdMs": 2000.0, "models": [{"name": "m"}]}},
   {"name": "press-desk", "healthPath": "/health", "maxConns": 110,
    "protocol": "h1", "tls": false}],
  "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
   "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}}
JSON
}

# Writes the settings of the gateway to $1, as deploy/gateway.toml.template
# makes them.
write_settings() {
    cat >"$1" <<TOML
instance = "frontend-sando-1"
failure_domain = "sando"
listen = "127.0.0.1:0"
ready = "127.0.0.1:0"
admin = "127.0.0.1:0"
peer = "127.0.0.1:0"
store = "$(cat "$work/store")"

[retries]
ratio = 0.2
slack = 58

[limits]
memory = "${MEMORY_MIB:-260}MiB"

[timeouts]
apply = "2000ms"
order_lease = "3000ms"
heartbeat = "1200ms"
drain = "2000ms"
TOML
}

end_processes() {
    local pid
    for pid in "${pids[@]}"; do
        kill -KILL "$pid" 2>/dev/null || true
        wait "$pid" 2>/dev/null || true
    done
    rm -rf "$work"
}

wait_for() {
    local n
    for n in $(seq 100); do
        "$@" && return 0
        sleep 0.1
    done
    return 1
}

# Runs case $1, without the disruption if $2 is 0, and exits with its code: 1 if
# the rule was broken, 0 if it held, 2 if the case could not run. record.txt of the case's folder takes
# what was sent, answered and run.
run_case() {
    local here code=0 port gateway world
    here=$(cd "$(dirname "$0")" && pwd)
    cd "$here/../.."
    [ -x target/bin/poplar-gateway ] && [ -x target/review-2/world ] || exit 2
    work=$(mktemp -d)
    pids=()
    trap end_processes EXIT
    trap 'exit 2' INT TERM HUP
    write_scenario "$work/scenario.json"
    target/review-2/world "$1" "$work" "$2" &
    world=$!
    pids+=("$world")
    wait_for test -s "$work/store" || exit 2
    write_settings "$work/gateway.toml"
    # The command of deploy/system.toml with another settings file.
    target/bin/poplar-gateway --config "$work/gateway.toml" \
        >"$work/gateway.log" 2>&1 &
    gateway=$!
    pids+=("$gateway")
    wait_for grep -q "^listening " "$work/gateway.log" || exit 2
    port=$(sed -n 's/^listening .* http=127.0.0.1:\([0-9]*\).*/\1/p' \
        "$work/gateway.log")
    echo "$gateway $port" >"$work/gateways.new"
    mv "$work/gateways.new" "$work/gateways"
    wait "$world" || code=$?
    cp "$work/record.txt" "$here/record.txt"
    grep -h "terminate called" -A1 "$work/gateway.log" >>"$here/record.txt" ||
        true
    [ "$code" -le 1 ] || code=2
    exit "$code"
}
