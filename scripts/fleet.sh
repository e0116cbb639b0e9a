# Functions that run a test fleet on loopback: stand-ins for the store and the
# VM list, three backend servers, and three daemons in two regions. Source this
# file from a bash script that has set `bin` (directory of the programs) and
# `work` (empty directory for logs and settings). An EXIT trap stops the
# processes by pid.

base_port=${CW_BASE_PORT:-$((20000 + ($$ % 300) * 40))}
store_port=$((base_port + 1))
store_control_port=$((base_port + 2))
vm_list_port=$((base_port + 3))
caller_key=shops-key-for-loopback-only
operator_token=operator-token-for-loopback-only
pepper=loopback-pepper-0001
ticket_secret=loopback-ticket-0001
pids=()
declare -A pid_of

stop_all_processes() {
  local pid
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do
    # A planned stop takes up to one lookup lifetime plus the longest deadline.
    for _ in $(seq 150); do
      kill -0 "$pid" 2>/dev/null || break
      sleep 0.1
    done
    kill -9 "$pid" 2>/dev/null || true
    wait "$pid" 2>/dev/null || true
  done
  pids=()
}
trap stop_all_processes EXIT

# start NAME PROGRAM [ARGUMENT...]: starts a background process; its output goes
# to $work/NAME.out and $work/NAME.log
start() {
  local name=$1
  shift
  "$bin/$1" "${@:2}" >>"$work/$name.out" 2>>"$work/$name.log" &
  pid_of[$name]=$!
  pids+=("$!")
}

# kill_process NAME: sends SIGKILL, to simulate the sudden failure of a VM
kill_process() {
  kill -9 "${pid_of[$1]}"
  wait "${pid_of[$1]}" 2>/dev/null || true
}

caller_port() { echo $((base_port + 9 + $1)); }
admin_port() { echo $((base_port + 19 + $1)); }
peer_port() { echo $((base_port + 29 + $1)); }
backend_port() { echo $((base_port + 3 + $1)); }

# fetch METHOD URL [HEADER...]: sends one request with the body $body, if set
fetch() {
  "$bin/cw_standin_load" --body "${body:-}" --fetch "$1" "${@:2}"
}

# digest KEY: HMAC-SHA-256 of an API key or token, as in the settings
digest() {
  printf %s "$1" | openssl dgst -sha256 -hmac "$pepper" | sed 's/.* //'
}

# backend_line NAME REGION FAILURE_DOMAIN PORT: settings entry of a backend
# server
backend_line() {
  echo "      $1: {region: $2, failure_domain: $3, address: 127.0.0.1," \
    "port: $4, connections: 64, capacity: 2000}"
}

write_settings() {
  cat >"$work/settings.yaml" <<EOF
format: 1
fleet: {lookup_lifetime: 1s, key_pepper: $pepper, ticket_secret: $ticket_secret}
regions:
  accra: {failure_domains: [accra-a, accra-b]}
  kumasi: {failure_domains: [kumasi-a]}
links:
- {from: accra, to: kumasi, bytes_per_second: 500000000, latency: 20ms}
- {from: kumasi, to: accra, bytes_per_second: 500000000, latency: 20ms}
accounts:
  shops:
    rate: 5000
    burst: 5000
    subset_size: 3
    keys: [{name: loopback, digest: $(digest "$caller_key")}]
services:
  ordering:
    slow_start: 1s
    backends:
$(backend_line ord-1 accra accra-a "$(backend_port 1)")
$(backend_line ord-2 accra accra-b "$(backend_port 2)")
$(backend_line ord-3 kumasi kumasi-a "$(backend_port 3)")
    routes:
      prices: {method: GET, path: /ordering/prices, idempotent: true}
      orders: {method: POST, path: /ordering/orders, idempotent: false}
root: {timeout: 3s}
operators:
  ama: {token_digest: $(digest "$operator_token"), nodes: [""]}
EOF
}

# start_daemon NUMBER REGION FAILURE_DOMAIN
start_daemon() {
  start "vm-$1" cranberrywingd --vm "vm-$1" --region "$2" \
    --failure_domain "$3" --address 127.0.0.1 \
    --caller_port "$(caller_port "$1")" --peer_port "$(peer_port "$1")" \
    --admin_port "$(admin_port "$1")" --store "127.0.0.1:$store_port" \
    --vm_list "http://127.0.0.1:$vm_list_port/vms" \
    --seeds "127.0.0.1:$(peer_port 1),127.0.0.1:$(peer_port 2)" \
    --settings "$work/settings.yaml"
}

start_all_daemons() {
  start_daemon 1 accra accra-a
  start_daemon 2 accra accra-b
  start_daemon 3 kumasi kumasi-a
}

# start_platform: writes the settings and starts all processes but the daemons
start_platform() {
  write_settings
  start store cw_standin_store --port "$store_port" \
    --control-port "$store_control_port"
  start vm_list cw_standin_vm_list --port "$vm_list_port" \
    --vm "vm-1=127.0.0.1:$(caller_port 1)" \
    --vm "vm-2=127.0.0.1:$(caller_port 2)" \
    --vm "vm-3=127.0.0.1:$(caller_port 3)"
  local n
  for n in 1 2 3; do
    start "ord-$n" cw_standin_backend --port "$(backend_port "$n")" \
      --name "ord-$n" --latency-ms 5 --capacity 2000 \
      --executions-file "$work/ord-$n.executions"
  done
}

# status_field NAME NUMBER: prints a numeric field of a daemon's status
status_field() {
  fetch GET "http://127.0.0.1:$(admin_port "$2")/v1/status" 2>/dev/null |
    sed -n "s/.*\"$1\":\([0-9]*\).*/\1/p"
}

# wait_for_fleet: waits up to 30 s until all 64 slots have owners and every
# daemon sees three usable members
wait_for_fleet() {
  local owned n
  for _ in $(seq 300); do
    owned=0
    for n in 1 2 3; do
      local members slots
      members=$(status_field usable_members "$n")
      slots=$(status_field owned_slots "$n")
      [ "${members:-0}" -eq 3 ] && owned=$((owned + ${slots:-0}))
    done
    [ "$owned" -eq 64 ] && return 0
    sleep 0.1
  done
  echo "the fleet did not become ready; logs are in $work" >&2
  tail -n 5 "$work"/*.log >&2
  return 1
}

# all_daemons: caller addresses of all daemons, separated by commas
all_daemons() {
  echo "127.0.0.1:$(caller_port 1),127.0.0.1:$(caller_port 2),127.0.0.1:$(caller_port 3)"
}

# load ARGUMENT...: runs the load generator with the account's key
load() {
  "$bin/cw_standin_load" --daemons "$(all_daemons)" --account shops \
    --key "$caller_key" "$@"
}

# execution_files: load generator flags that name the execution logs of all
# backend servers
execution_files() {
  local n
  for n in 1 2 3; do echo --execution-file "$work/ord-$n.executions"; done
}
