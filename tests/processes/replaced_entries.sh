#!/usr/bin/env bash
# All entries are killed and others start at other addresses, as the real programs on loopback. One
# agent has settings with the old seeds and finds the new entries in the store; the other one has no
# store and finds them in its settings, which change without a signal. Without these sources an
# agent stayed without an entry until it was started again.
set -euo pipefail
cd "$(dirname "$0")/../.."
WORK="$(mktemp -d)"
STORE=127.78.0.9:27500
NO_STORE=127.78.0.10:27500
declare -A PIDS
trap 'kill -9 "${PIDS[@]}" 2>/dev/null || true; [ -n "${KEEP:-}" ] || rm -rf "$WORK"' EXIT

seeds='"127.78.1.1:27526","127.78.1.2:27526"'
write_settings() { # ROLE NUMBER STORE
  local ip="127.78.1.$2"
  [ "$1" = agent ] && ip="127.78.2.$2"
  cat >"$WORK/new" <<JSON
{"Node":"$1-$2","Ip":"$ip","Zone":"z$2","PortRange":[27000,27015],
 "Listen":{"Front":"$ip:27521","Ready":"$ip:27523","Control":"$ip:27526"},
 "Seeds":[$seeds],"platform":{"Addr":"$3"},"app":"127.78.2.$2:27529",
 "Bounds":{"HoldMaxMs":6000,"GraceS":6,"RevokeMs":5000}}
JSON
  mv "$WORK/new" "$WORK/$1-$2.json"
}
start() { # ROLE NUMBER
  EELGRASSHAVEN_SETTINGS="$WORK/$1-$2.json" "$BIN/eelgrass_batch" "$1" >>"$WORK/$1-$2.log" 2>&1 &
  PIDS[$1-$2]=$!
}
fail() {
  echo "$1"
  tail -n 20 "$WORK"/*.log
  exit 1
}
gauge() { # AGENT NAME: prints the value of one of the agent's metrics
  curl -s -m 1 "http://127.78.2.$1:27015/metrics" | sed -n "s/^eelgrass_$2 //p"
}
wait_for_planner() { # SECONDS VALUE: until both agents say so
  local deadline=$((SECONDS + $1))
  until [ "$(gauge 1 planner_connected)$(gauge 2 planner_connected)" = "$2$2" ]; do
    [ $SECONDS -le $deadline ] || fail "planner_connected is not $2 at both agents after $1 s"
    sleep 0.2
  done
}
call() { # METHOD ENTRY PATH [CURL-ARGUMENT...]
  curl -s -m 4 -o "$WORK/body" -w '%{http_code}' -X "$1" -H "Host: site" \
    -H "Authorization: Bearer key" "${@:4}" "http://127.78.1.$2:27521$3" || true
}
complete() { # ENTRY ID: submits a job that takes both workers, and waits until it has run
  local deadline=$((SECONDS + 20))
  local body='{"Spec":"[{\"work_ms\":300}]","Steps":[{"Count":2,"Cpu":1000,"MemMb":1000,"Gpu":8,"Gang":true,"EstimateMs":300}]}'
  until [ "$(call POST "$1" "/q/$2" --data "$body")" = 200 ]; do
    [ $SECONDS -le $deadline ] || fail "job $2 was not accepted"
    sleep 0.3
  done
  until [ "$(call GET "$1" "/q/$2")" = 200 ] && grep -q completed "$WORK/body"; do
    [ $SECONDS -le $deadline ] || fail "job $2 did not complete: $(cat "$WORK/body")"
    sleep 0.2
  done
}

"$BIN/eelgrass_fleet" "$STORE" drying 127.78.2.1:27529=127.78.2.1:27526@z1 \
  127.78.2.2:27529=127.78.2.2:27526@z2 >"$WORK/fleet.log" 2>"$WORK/fleet.err" &
PIDS[fleet]=$!
sleep 0.5
config='{"Version":1,"Routes":[{"Name":"q","Host":"site","PathPrefix":"/q/","Service":"drying","Priority":1,"Attempts":3,"Stretch":3.0,"TargetLatencyMs":1000}],"Services":[{"Name":"drying","RejectsOverload":true}],"Tenants":[{"Name":"t","ApiKeys":["key"],"GuaranteedGpus":{"Gpu":8}}]}'
curl -sf -X POST "http://$STORE/rows-tx" --data "{\"Writes\":[{\"Table\":\"op\",\"part\":\"\",\"Key\":\"config\",\"Value\":\"$(printf %s "$config" | base64 -w0)\"}]}" >/dev/null
for n in 1 2 3; do write_settings entry "$n" "$STORE"; done
write_settings agent 1 "$STORE"
write_settings agent 2 "$NO_STORE"
for n in 1 2 3; do start entry "$n"; done
for n in 1 2; do start agent "$n"; done
wait_for_planner 10 1
complete 1 0000000000000001

kill -9 "${PIDS[entry-1]}" "${PIDS[entry-2]}" "${PIDS[entry-3]}"
wait_for_planner 10 0
seeds='"127.78.1.4:27526","127.78.1.5:27526"'
for n in 4 5 6; do write_settings entry "$n" "$STORE"; done
for n in 4 5 6; do start entry "$n"; done
write_settings agent 2 "$NO_STORE"
wait_for_planner 20 1
[ "$(gauge 1 planner_missing_ms)" = 0 ] || fail "agent-1 still misses the planner"
grep -q "event=entries-read" "$WORK/agent-1.log" || fail "agent-1 did not read the store's table"
complete 4 0000000000000002

for name in entry-4 entry-5 entry-6 agent-1 agent-2 fleet; do kill -TERM "${PIDS[$name]}"; done
for name in entry-4 entry-5 entry-6 agent-1 agent-2 fleet; do
  status=0
  wait "${PIDS[$name]}" || status=$?
  [ "$status" -eq 0 ] || fail "$name exited with $status after SIGTERM, expected 0"
done
