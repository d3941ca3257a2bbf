#!/usr/bin/env bash
# Under load, upstream agents and entries are stopped by SIGTERM and replaced in turn: no request is
# interrupted, lost or run twice, and no caller gets the outcome "unknown".
set -euo pipefail
cd "$(dirname "$0")/../.."
WORK="$(mktemp -d)"
DEPLOYMENT=charqui
BASE_PORT=25000
source scripts/deployment.sh
trap kill_all EXIT
source scripts/start-example.sh

# The load goes to the entry that is not being replaced, as with a load balancer that polls /readyz.
"$BIN/eelgrass_load" --entries "127.0.0.1:$(port entry 3)" \
  --platform "127.0.0.1:$(port platform)" --tokens "$TOKENS" --requests 2000 --rate 150 \
  --idempotent 40 --keyed 50 >"$WORK/load.txt" &
load=$!
for i in 1 2 3 4 5; do
  kill -TERM "${PID_OF[upstream-$i]}"
  wait "${PID_OF[upstream-$i]}"
  start_upstream "$i" "${DOMAINS[$((i % 3))]}" "$SERVICE" "$PEERS"
  sleep 0.5
done
for i in 1 2; do
  kill -TERM "${PID_OF[entry-$i]}"
  wait "${PID_OF[entry-$i]}"
  start_entry "$i" "${DOMAINS[$((i - 1))]}"
  wait_for 10 ready "$i"
done
wait "$load"
cat "$WORK/load.txt"
grep -q "completed 2000" "$WORK/load.txt"

# The entry that serves the load gets SIGTERM while requests are in flight.
"$BIN/eelgrass_load" --entries "127.0.0.1:$(port entry 3)" --prefix late \
  --platform "127.0.0.1:$(port platform)" --tokens "$TOKENS" --requests 40 --rate 400 \
  --path /v1/services/orders/work/1500 >"$WORK/late.txt" &
late=$!
sleep 0.4
kill -TERM "${PID_OF[entry-3]}"
wait "${PID_OF[entry-3]}"
unset "PID_OF[entry-3]"
wait "$late"
cat "$WORK/late.txt"
grep -q "completed 40" "$WORK/late.txt"
stop_all
