# Functions that run a small fleet on loopback, for use by other scripts. They
# stop only processes that they started.
kumquatloom=build/kumquatloom
stand_in=build/kumquatloom_stand_in
work_dir=$(mktemp -d)
fleet_pids=()
stand_in_pids=()

# Stops the processes that are still running and removes the work folder.
cleanup() {
    for pid in "${fleet_pids[@]}" "${stand_in_pids[@]}"; do
        kill -TERM "$pid" 2>/dev/null || true
    done
    wait 2>/dev/null || true
    rm -rf "$work_dir"
}
trap cleanup EXIT

# Waits until a file contains a line with the text; prints the last such line.
# Exits with an error after 600 polls of 0.1 s.
wait_for_line() {
    local file=$1 text=$2 tries=0
    until grep -q -- "$text" "$file" 2>/dev/null; do
        tries=$((tries + 1))
        if [ "$tries" -gt 600 ]; then
            echo "fleet: no '$text' in $(basename "$file"):" >&2
            cat "$file" >&2
            exit 1
        fi
        sleep 0.1
    done
    grep -- "$text" "$file" | tail -n 1
}

# Prints a member of a flat JSON object: NAME OBJECT.
json_member() {
    sed -n "s/.*\"$1\":\"\{0,1\}\([^,\"}]*\).*/\1/p" <<<"$2"
}

# Starts a stand-in and sets the variable `address` to its address.
start_stand_in() {
    local name=$1
    shift
    "$stand_in" "$@" >"$work_dir/$name.out" 2>&1 &
    stand_in_pids+=("$!")
    address=$(wait_for_line "$work_dir/$name.out" '^127.0.0.1:')
}

# Starts an upstream and registers it in the list.
start_upstream() {
    local id=$1 service=$2 domain=$3 region=$4
    start_stand_in "$id" upstream --id "$id" --slots 6 --service-ms 10
    "$stand_in" register --list "$list" --address "$address" --id "$id" \
        --kind upstream --service "$service" --failure-domain "$domain" \
        --region "$region" >/dev/null
    upstream_address[$id]=$address
}

# Starts an entry instance and registers it in the list.
start_entry() {
    local id=$1 domain=$2 region=$3 line callers peers
    cat >"$work_dir/$id.json" <<JSON
{
  "instance": {"id": "$id", "failure_domain": "$domain", "region": "$region"},
  "listen": {"callers": "127.0.0.1:0", "operators": "127.0.0.1:0", "peers": "127.0.0.1:0"},
  "platform": {"log": "$log", "instances": "$list", "poll_ms": 200},
  "fleet": {"name": "quickstart", "keys": [{"id": 1, "secret_hex": "$fleet_key"}],
            "platform_public_key_hex": "$(tr -d '\n' <"$work_dir/platform.key.public")"},
  "callers": {"entries_ttl_ms": 1000}
}
JSON
    "$kumquatloom" serve --settings "$work_dir/$id.json" >"$work_dir/$id.out" 2>&1 &
    fleet_pids+=("$!")
    line=$(wait_for_line "$work_dir/$id.out" '"listening"')
    callers=$(json_member callers "$line")
    operators=$(json_member operators "$line")
    peers=$(json_member peers "$line")
    "$stand_in" register --list "$list" --address "$callers" --id "$id" \
        --kind entry --failure-domain "$domain" --region "$region" \
        --peer-port "${peers##*:}" >/dev/null
    entries+=("$callers")
    operator_addresses+=("$operators")
}

declare -A upstream_address
entries=()
operator_addresses=()
fleet_key=$(od -An -tx1 -N16 /dev/urandom | tr -d ' \n')

# Writes the example's document to the log, with newly generated keys.
create_document() {
    document=$work_dir/document.json
    cp examples/mbao/document.json "$document"
    # An instance's share of a rate limit depends on the expected number of
    # instances, so it must match the fleet; the quickstart has 3 in each region.
    sed -i 's/"\(nairobi\|mombasa\)": 24/"\1": 3/' "$document"
    for owner in platform catalogue-team; do
        "$kumquatloom" document keygen --key "$work_dir/$owner.key" >/dev/null
        example_key=$(sed -n "/\"$owner\"/,/}/s/.*\"public_key_hex\": \"\(.*\)\".*/\1/p" "$document")
        sed -i "s/$example_key/$(tr -d '\n' <"$work_dir/$owner.key.public")/" "$document"
    done
    "$kumquatloom" document edit --log "$log" --section '*' --file "$document" \
        --key "$work_dir/platform.key" --author platform
}

# Starts the load of one organisation in the background: ORGANISATION SEED RATE
# LENGTH_MS.
start_load() {
    local organisation=$1 seed=$2 rate=$3 length_ms=$4 entry_list
    entry_list=$(IFS=,; echo "${entries[*]}")
    "$stand_in" load --entries "$entry_list" --list "$list" \
        --organisation "$organisation" \
        --credential "example-secret-of-$organisation" --seed "$seed" \
        --read /catalogue/kits --write /orders/new --write-fraction 0.2 \
        --rate "$rate" --length-ms "$length_ms" >"$work_dir/load-$organisation.out" 2>&1 &
    load_pids+=("$!")
}

# Prints a table of the outcomes for the callers of some organisations.
print_callers() {
    local organisation report
    printf '  %-14s %9s %9s %8s %8s %6s %6s %10s %9s %9s\n' organisation requests \
        completed not-run unknown late wrong "ran twice" p50 p99
    for organisation in "$@"; do
        report=$(tail -n 1 "$work_dir/load-$organisation.out")
        printf '  %-14s %9s %9s %8s %8s %6s %6s %10s %6s us %6s us\n' "$organisation" \
            "$(json_member requests "$report")" "$(json_member completed "$report")" \
            "$(json_member not_run "$report")" "$(json_member unknown "$report")" \
            "$(json_member late "$report")" "$(json_member wrong "$report")" \
            "$(json_member double_executions "$report")" \
            "$(json_member p50_us "$report")" "$(json_member p99_us "$report")"
    done
}

# Waits until a stopping entry instance exits; the script fails unless its exit
# status is 0.
await_stop() {
    local pid=$1
    wait "$pid" || { echo "an entry instance did not stop cleanly"; failed=1; }
}

load_pids=()
failed=0
