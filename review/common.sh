# Functions of the review's scripts; sourced from the repository's root.

bin=target/review/bin
folder=$(mktemp -d)
started=()

# is_free IP PORT: true when nothing accepts connections there.
is_free() { ! (exec 4<>"/dev/tcp/$1/$2") 2>/dev/null; }

# Two addresses of the loopback range for the machines of the system, and ports
# that are free on both. The template names the port 9464 itself.
choose_addresses() {
    local i
    for ((i = 0; i < 100; ++i)); do
        net="127.$((RANDOM % 200 + 20)).$((RANDOM % 250 + 1))"
        port=$((RANDOM % 20000 + 20000))
        is_free "$net.1" 9464 && is_free "$net.2" 9464 &&
            is_free "$net.1" "$port" && is_free "$net.2" "$port" &&
            is_free "$net.1" $((port + 1)) && is_free "$net.2" $((port + 1)) &&
            return
    done
    echo "no free ports" >&2
    exit 2
}
choose_addresses

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
        -e "s/{{listen.front}}/$2:$port/; s/{{listen.ready}}/$2:$((port + 1))/" \
        -e "s/{{internalPorts.1}}/$((port + 2))/; s/{{platform.address}}/$store/" \
        -e 's/{{bounds.retryBudgetRatio}}/0.2/' \
        -e 's/{{bounds.retryBudgetSlack}}/52/' \
        -e 's/{{bounds.configApplyMs}}/2000/; s/{{bounds.leaseMs}}/3000/' \
        -e 's/{{beatIntervalMs}}/1200/; s/{{bounds.drainMs}}/2000/' \
        deploy/gateway.toml.template
}

# wait_for_end PID: the platform sends SIGKILL 8 s after SIGTERM.
wait_for_end() {
    wait_until 8 has_ended "$1" || kill -KILL "$1"
    wait "$1" 2>/dev/null
}
has_ended() { ! kill -0 "$1" 2>/dev/null; }

# start_gateway NAME IP: sets the variable pid.
start_gateway() {
    settings "$1" "$2" >"$folder/$1.toml"
    target/bin/poplar-gateway --config "$folder/$1.toml" \
        >>"$folder/$1.log" 2>&1 &
    pid=$!
    started+=("$pid")
}
