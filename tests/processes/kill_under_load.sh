#!/usr/bin/env bash
# Under load, the planning entry and an upstream agent are killed, and a worker agent and another
# upstream agent are paused: no caller or job owner gets a wrong result, and all jobs end.
set -euo pipefail
cd "$(dirname "$0")/../.."
WORK="$(mktemp -d)"
DEPLOYMENT=charqui
BASE_PORT=23000
source scripts/deployment.sh
trap kill_all EXIT
source scripts/start-example.sh

ctl jobs submit examples/charqui-jobs.json >/dev/null
"$BIN/eelgrass_load" --entries "127.0.0.1:$(port entry 2),127.0.0.1:$(port entry 3)" \
  --platform "127.0.0.1:$(port platform)" --tokens "$TOKENS" --requests 1500 --rate 200 \
  --idempotent 40 --keyed 60 --prefix load >"$WORK/load.txt" &
load=$!
sleep 1.5
kill -KILL "${PID_OF[entry-1]}"
unset "PID_OF[entry-1]"
sleep 1
kill -KILL "${PID_OF[upstream-4]}"
unset "PID_OF[upstream-4]"
kill -STOP "${PID_OF[worker-5]}" "${PID_OF[upstream-7]}"
sleep 4
kill -CONT "${PID_OF[worker-5]}" "${PID_OF[upstream-7]}"
wait "$load"
cat "$WORK/load.txt"
start_entry 1 maipu
ENTRIES=3
"$BIN/eelgrass_load" --entries "$(entry_list 3 entry | cut -d, -f2)" --requests 0 \
  --platform "127.0.0.1:$(port platform)" --jobs-token "$OPERATOR_TOKEN" --jobs-wait-s 60
stop_all
