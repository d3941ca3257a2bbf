# Functions that start a deployment with stand-ins on loopback. To be sourced.
# Requires BIN, the folder of the programs, and WORK, a folder for logs.

PIDS=()
export EELGRASS_PEER_KEY="demo-key-of-all-processes"
OPERATOR_TOKEN="demo-operator-ana"
BASE_PORT="${BASE_PORT:-21000}"

# port KIND NUMBER: prints the port of a process. All ports are offsets from BASE_PORT.
port() {
  case "$1" in
    platform) echo $((BASE_PORT)) ;;
    entry) echo $((BASE_PORT + 10 + $2)) ;;
    peer) echo $((BASE_PORT + 30 + $2)) ;;
    upstream) echo $((BASE_PORT + 100 + $2)) ;;
    worker) echo $((BASE_PORT + 400 + $2)) ;;
  esac
}

# start NAME PROGRAM ARGUMENT...: runs a program in the background, with its pid in PID_OF[NAME].
declare -A PID_OF
start() {
  local name="$1"
  shift
  "$BIN/$1" "${@:2}" >>"$WORK/$name.log" 2>&1 &
  PID_OF[$name]=$!
  PIDS+=("$!")
}

entry_list() {
  local count="$1" kind="$2" list=""
  for i in $(seq 1 "$count"); do list="$list,127.0.0.1:$(port "$kind" "$i")"; done
  echo "${list#,}"
}

start_platform() {
  start platform eelgrass_standin --listen "127.0.0.1:$(port platform)"
}

# start_entry NUMBER DOMAIN [ARGUMENT...]
start_entry() {
  local number="$1" domain="$2"
  shift 2
  start "entry-$number" eelgrass_entry --id "entry-$number" --domain "$domain" \
    --listen "127.0.0.1:$(port entry "$number")" --peer-listen "127.0.0.1:$(port peer "$number")" \
    --store-url "http://127.0.0.1:$(port platform)" \
    --bootstrap-digest "$("$BIN/eelgrassctl" token digest "$OPERATOR_TOKEN")" "$@"
}

# start_upstream NUMBER DOMAIN SERVICE ENTRIES [ARGUMENT...]
start_upstream() {
  local number="$1" domain="$2" service="$3" entries="$4"
  shift 4
  start "upstream-$number" eelgrass_agent --role upstream --id "upstream-$number" \
    --domain "$domain" --peer-listen "127.0.0.1:$(port upstream "$number")" \
    --entries "$entries" --service "$service" \
    --upstream-url "http://127.0.0.1:$(port platform)/upstreams/u$number" "$@"
}

# start_worker NUMBER DOMAIN RACK REGION ENTRIES CORES MEMORY [ARGUMENT...]
start_worker() {
  local number="$1" domain="$2" rack="$3" region="$4" entries="$5" cores="$6" memory="$7"
  shift 7
  start "worker-$number" eelgrass_agent --role worker --id "worker-$number" --domain "$domain" \
    --rack "$rack" --region "$region" --peer-listen "127.0.0.1:$(port worker "$number")" \
    --entries "$entries" --cores "$cores" --memory-gb "$memory" \
    --worker-url "http://127.0.0.1:$(port platform)/workers/w$number" "$@"
}

ctl() {
  "$BIN/eelgrassctl" --entries "$(entry_list "${ENTRIES:-3}" entry)" --token "$OPERATOR_TOKEN" "$@"
}

# wait_for SECONDS COMMAND...: repeats a command until it succeeds.
wait_for() {
  local tries=$(($1 * 10))
  shift
  for _ in $(seq 1 "$tries"); do
    if "$@" >/dev/null 2>&1; then return 0; fi
    sleep 0.1
  done
  echo "timed out after $((tries / 10)) s waiting for: $*" >&2
  return 1
}

ready() {
  curl -sf "http://127.0.0.1:$(port entry "$1")/readyz"
}

# stop_all: sends SIGTERM to every process, the platform last; returns the number of unclean exits.
stop_all() {
  local failed=0 name
  for name in "${!PID_OF[@]}"; do
    if [ "$name" != platform ]; then kill -TERM "${PID_OF[$name]}" 2>/dev/null || true; fi
  done
  for name in "${!PID_OF[@]}"; do
    if [ "$name" = platform ]; then continue; fi
    if ! wait "${PID_OF[$name]}"; then
      echo "$name did not exit with 0 after SIGTERM" >&2
      failed=$((failed + 1))
    fi
  done
  if [ -n "${PID_OF[platform]:-}" ]; then
    kill -TERM "${PID_OF[platform]}" 2>/dev/null || true
    wait "${PID_OF[platform]}" || true
  fi
  PIDS=()
  PID_OF=()
  return "$failed"
}

# kill_all: kills every process; used as exit handler.
kill_all() {
  for pid in "${PIDS[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
}
