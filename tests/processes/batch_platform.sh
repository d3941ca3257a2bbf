#!/usr/bin/env bash
# The batch programs run as separate processes against the stand-in for the users' platform. Jobs
# are submitted while the planner is killed, the store refuses requests and loses responses, and an
# agent is killed. Every accepted job completes, no job runs twice, and every process exits with 0
# on SIGTERM.
set -euo pipefail
cd "$(dirname "$0")/../.."
WORK="$(mktemp -d)"
STORE=127.77.0.9:27500
ENTRIES=(1 2 3)
AGENTS=(1 2 3 4)
declare -A PIDS
trap 'kill -9 "${PIDS[@]}" 2>/dev/null || true; [ -n "${KEEP:-}" ] || rm -rf "$WORK"' EXIT

seeds='"127.77.1.1:27526","127.77.1.2:27526"'
write_settings() { # ROLE NUMBER
  local ip="127.77.1.$2"
  [ "$1" = agent ] && ip="127.77.2.$2"
  cat >"$WORK/$1-$2.json" <<JSON
{"Node":"$1-$2","Ip":"$ip","Zone":"z$2","PortRange":[27000,27015],
 "Listen":{"Front":"$ip:27521","Ready":"$ip:27523","Control":"$ip:27526"},
 "Seeds":[$seeds],"platform":{"Addr":"$STORE"},"app":"127.77.2.$2:27529",
 "Bounds":{"HoldMaxMs":6000,"GraceS":6,"RevokeMs":5000}}
JSON
}
start() { # ROLE NUMBER
  EELGRASSHAVEN_SETTINGS="$WORK/$1-$2.json" "$BIN/eelgrass_batch" "$1" >>"$WORK/$1-$2.log" 2>&1 &
  PIDS[$1-$2]=$!
}

runners=()
for n in "${AGENTS[@]}"; do runners+=("127.77.2.$n:27529=127.77.2.$n:27526@z$n"); done
"$BIN/eelgrass_fleet" "$STORE" drying "${runners[@]}" >"$WORK/fleet.log" 2>"$WORK/fleet.err" &
PIDS[fleet]=$!
for n in "${ENTRIES[@]}"; do write_settings entry "$n"; done
for n in "${AGENTS[@]}"; do write_settings agent "$n"; done
sleep 0.5

config='{"Version":1,"Routes":[{"Name":"q","Host":"site","PathPrefix":"/q/","Service":"drying","Priority":1,"Attempts":3,"Stretch":3.0,"TargetLatencyMs":1000}],"Services":[{"Name":"drying","RejectsOverload":true}],"Tenants":[{"Name":"t","ApiKeys":["key"],"GuaranteedGpus":{"Gpu":8}}]}'
curl -sf -X POST "http://$STORE/rows-tx" --data "{\"Writes\":[{\"Table\":\"op\",\"part\":\"\",\"Key\":\"config\",\"Value\":\"$(printf %s "$config" | base64 -w0)\"}]}" >/dev/null
for n in "${ENTRIES[@]}"; do start entry "$n"; done
for n in "${AGENTS[@]}"; do start agent "$n"; done

ready() { curl -s -o /dev/null -w '%{http_code}' "http://127.77.1.$1:27523/ready" || true; }
for _ in $(seq 100); do [ "$(ready 1)$(ready 2)$(ready 3)" = 200200200 ] && break; sleep 0.1; done
[ "$(ready 1)" = 200 ]

call() { # METHOD ENTRY PATH [CURL-ARGUMENT...]
  curl -s -m 4 -o "$WORK/body" -w '%{http_code}' -X "$1" -H "Host: site" \
    -H "Authorization: Bearer key" "${@:4}" "http://127.77.1.$2:27521$3" || true
}
[ "$(curl -s -o /dev/null -w '%{http_code}' -H "Host: site" "http://127.77.1.1:27521/q/")" = 401 ]
[ "$(call GET 1 /nowhere/)" = 404 ]
[ "$(call POST 1 /q/00000000000000ff --data '{')" = 400 ]
head -c 300000 /dev/zero >"$WORK/large"
[ "$(call POST 1 /q/00000000000000ff --data-binary "@$WORK/large")" = 413 ]
[ "$(call DELETE 1 /q/00000000000000ff)" = 410 ]
# Invalid heartbeats from another writer are refused; the worker's own are still accepted.
put_heartbeat() { # ADDRESS NUMBER
  printf '{"Service":"drying","Addr":"%s","Zone":"z1","State":"ready","born":1,"Seq":%s}' "$1" "$2" |
    curl -s -m 4 -o /dev/null -w '%{http_code}' -X PUT "http://127.77.2.1:27526/instances/odd" --data-binary @-
}
deep="$(head -c 100000 /dev/zero | tr '\0' '[')$(head -c 100000 /dev/zero | tr '\0' ']')"
for number in 1e999 -1 99999999999999999999999 "$deep"; do [ "$(put_heartbeat 127.77.2.1:27529 "$number")" = 400 ]; done
for port in 0 65536 99999999999; do [ "$(put_heartbeat "127.77.2.1:$port" 1)" = 400 ]; done
page="$(curl -sf "http://127.77.1.1:27015/metrics")"
grep -q eelgrass_ <<<"$page"

body='{"Spec":"[{\"work_ms\":700}]","Steps":[{"Count":2,"Cpu":1000,"MemMb":1000,"Gpu":1,"EstimateMs":700}]}'
accepted=()
submit() { # ID: submits a job to any entry, retrying until it is accepted
  local attempt status
  for attempt in $(seq 12); do
    status="$(call POST $((1 + (attempt + RANDOM) % 3)) "/q/$1" --data "$body")"
    if [ "$status" = 200 ]; then accepted+=("$1"); return; fi
    sleep 0.4
  done
  echo "job $1 was not accepted after 12 attempts, last status $status"
  exit 1
}
find_planner() { # prints the planning entry's number from metrics up to 1 s old
  local page
  for _ in $(seq 50); do
    for n in "${ENTRIES[@]}"; do
      page="$(curl -s -m 1 "http://127.77.1.$n:27015/metrics" || true)"
      if grep -q '^eelgrass_planning 1' <<<"$page"; then
        echo "$n"
        return
      fi
    done
    sleep 0.1
  done
  echo "no entry became the planner within 50 polls" >&2
  return 1
}

for i in $(seq 10 19); do submit "00000000000000$i"; done
killed="$(find_planner)"
kill -9 "${PIDS[entry-$killed]}"
submit 0000000000000020
start entry "$killed"
curl -sf "http://$STORE/standin/store?fault=lose" >/dev/null
sleep 1
curl -sf "http://$STORE/standin/store?fault=none" >/dev/null
for i in $(seq 21 25); do submit "00000000000000$i"; done
kill -9 "${PIDS[agent-2]}"
start agent 2
curl -sf "http://$STORE/standin/store?fault=refuse" >/dev/null
sleep 1.5
curl -sf "http://$STORE/standin/store?fault=none" >/dev/null
kill -HUP "${PIDS[entry-1]}" "${PIDS[agent-1]}"
for i in $(seq 26 30); do submit "00000000000000$i"; done

deadline=$((SECONDS + 40))
for id in "${accepted[@]}"; do
  until [ "$(call GET $((1 + RANDOM % 3)) "/q/$id")" = 200 ] && grep -q completed "$WORK/body"; do
    if [ $SECONDS -gt $deadline ]; then
      echo "job $id did not complete within 40 s: $(cat "$WORK/body")"
      grep -h "$id" "$WORK"/*.log | tail -20
      exit 1
    fi
    sleep 0.2
  done
done

for name in entry-1 entry-2 entry-3 agent-1 agent-2 agent-3 agent-4 fleet; do
  kill -TERM "${PIDS[$name]}"
done
for name in entry-1 entry-2 entry-3 agent-1 agent-2 agent-3 agent-4 fleet; do
  status=0
  wait "${PIDS[$name]}" || status=$?
  if [ "$status" -ne 0 ]; then
    echo "$name exited with $status after SIGTERM, expected 0"
    tail -20 "$WORK/$name.log"
    exit 1
  fi
done
grep -q "event=reload-requested" "$WORK/entry-1.log"
cat "$WORK/fleet.log"
