# Functions of the review's scripts; sourced from the repository's root.

bin=target/review/bin
folder=$(mktemp -d)
started=()
# Addresses of this run: two machines of the system on the loopback range.
net="127.$((RANDOM % 200 + 20)).$((RANDOM % 250 + 1))"

end_all() {
    local pid
    for pid in "${started[@]}"; do
        kill -CONT "$pid" 2>/dev/null
        kill -KILL "$pid" 2>/dev/null
        wait "$pid" 2>/dev/null
    done
    rm -rf "$folder"
}
trap end_all EXIT

cannot_run() {
    echo "cannot run: $*" >&2
    exit 2
}

# Loopback only, whatever proxy the environment names.
curl() { command curl --noproxy "*" "$@"; }

now_ms() { date +%s%3N; }

# note JSON: one line of the record.
note() { jq -c --argjson ms "$(now_ms)" '{ms: $ms} + .' <<<"$1" >>"$record"; }

# wait_until SECONDS COMMAND...: true once the command succeeds.
wait_until() {
    local end=$(($(now_ms) + $1 * 1000))
    shift
    until "$@"; do
        [ "$(now_ms)" -lt "$end" ] || return 1
        sleep 0.05
    done
}

start_store() {
    "$bin/review-store" 127.0.0.1:0 >"$folder/store" 2>"$folder/store.err" &
    started+=($!)
    wait_until 5 test -s "$folder/store" || cannot_run "no store"
    store=$(cat "$folder/store")
}

# object PATH: an object of the store.
object() { curl -s -m 5 "http://$store/objects/$1"; }

write_configuration() {
    jq -c '{metadata: {name: "main"}, spec: .}' \
        review/standins/configuration.json |
        curl -s -m 5 -f -o "$folder/answer" --data-binary @- \
            "http://$store/objects/config" || cannot_run "no configuration"
}

# settings NAME IP: the settings that the platform makes from the template.
settings() {
    sed -e "s/{{nodeName}}/$1/; s/{{zone}}/zone0/; s/{{ip}}/$2/" \
        -e "s/{{listen.front}}/$2:8149/; s/{{listen.ready}}/$2:8141/" \
        -e "s/{{internalPorts.1}}/7395/; s/{{platform.address}}/$store/" \
        -e 's/{{bounds.retryBudgetRatio}}/0.2/' \
        -e 's/{{bounds.retryBudgetSlack}}/52/' \
        -e 's/{{bounds.configApplyMs}}/2000/; s/{{bounds.leaseMs}}/3000/' \
        -e 's/{{beatIntervalMs}}/1200/; s/{{bounds.drainMs}}/2000/' \
        deploy/gateway.toml.template
}

is_ready() {
    [ "$(curl -s -m 1 -o /dev/null -w '%{http_code}' "http://$1:8141/ready")" \
        = 200 ]
}

# start_gateway NAME IP: sets the variable pid.
start_gateway() {
    settings "$1" "$2" >"$folder/$1.toml"
    target/bin/poplar-gateway --config "$folder/$1.toml" \
        >>"$folder/$1.log" 2>&1 &
    pid=$!
    started+=("$pid")
}
