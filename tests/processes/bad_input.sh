#!/usr/bin/env bash
# Invalid input gets one clear error and the right status or exit code; the process keeps running.
set -euo pipefail
cd "$(dirname "$0")/../.."
WORK="$(mktemp -d)"
DEPLOYMENT=charqui
BASE_PORT=26000
source scripts/deployment.sh
trap kill_all EXIT
source scripts/start-example.sh
E1="http://127.0.0.1:$(port entry 1)"
AUTH="Authorization: Bearer demo-secadero"
OPER="Authorization: Bearer $OPERATOR_TOKEN"

# expect_status STATUS CURL-ARGUMENT...
expect_status() {
  local status
  status="$(curl -s -o "$WORK/body" -w '%{http_code}' "${@:2}" || true)"
  if [ "$status" != "$1" ]; then
    echo "expected $1, got $status for ${*:2}"
    cat "$WORK/body"
    exit 1
  fi
}

expect_status 401 "$E1/v1/services/orders/work/1"
expect_status 401 -H "Authorization: Bearer wrong" "$E1/v1/jobs"
expect_status 404 -H "$AUTH" "$E1/v1/services/nothing/work/1"
expect_status 404 -H "$AUTH" "$E1/v1/status"
expect_status 404 -H "$OPER" "$E1/v1/no-such-thing"
expect_status 400 -H "$AUTH" -H "Eelgrass-Deadline-Ms: soon" "$E1/v1/services/orders/work/1"
expect_status 400 -H "$AUTH" -H "Eelgrass-Idempotent: perhaps" "$E1/v1/services/orders/work/1"
head -c 1200000 /dev/zero >"$WORK/large"
expect_status 413 -H "$AUTH" --data-binary "@$WORK/large" "$E1/v1/services/orders/work/1"
expect_status 422 -H "$OPER" -X PUT --data '{"base": 1' "$E1/v1/config"
expect_status 422 -H "$OPER" --data '{"tasks": 1, "unheard_of": 2}' "$E1/v1/jobs"
expect_status 422 -H "$AUTH" --data '{"tasks": 100, "per_task": {"accelerators": 8}, "within": "rack", "job_class": "cure-model"}' "$E1/v1/jobs"
grep -q "can never run" "$WORK/body"
python3 -c "print('[' * 100000)" >"$WORK/deep"
expect_status 422 -H "$OPER" -X PUT --data-binary "@$WORK/deep" "$E1/v1/config"
job="$(ctl --json yes jobs submit <(python3 -c '
import json
print(json.dumps(json.load(open("examples/charqui-jobs.json"))[0]))') | python3 -c 'import json,sys; print(json.load(sys.stdin)["id"])')"
expect_status 200 -H "$AUTH" "$E1/v1/jobs/$job"
expect_status 404 -H "Authorization: Bearer demo-tienda" "$E1/v1/jobs/$job"
printf 'NONSENSE\r\n\r\n' | timeout 2 bash -c "exec 3<>/dev/tcp/127.0.0.1/$(port entry 1); cat >&3; cat <&3" >/dev/null || true
expect_status 200 "$E1/healthz"

# expect_exit_code CODE COMMAND...
expect_exit_code() {
  local code=0
  "${@:2}" >"$WORK/out" 2>&1 || code=$?
  if [ "$code" != "$1" ]; then
    echo "expected exit code $1, got $code for ${*:2}"
    cat "$WORK/out"
    exit 1
  fi
}
expect_exit_code 2 "$BIN/eelgrass_entry" --listen nowhere
grep -q "setting --" "$WORK/out"
expect_exit_code 2 "$BIN/eelgrassctl" --no-such-flag
expect_exit_code 2 "$BIN/eelgrassctl" jobs
expect_exit_code 2 ctl config apply "$WORK/no-such-file"
expect_exit_code 3 "$BIN/eelgrassctl" --entries 127.0.0.1:1 status
expect_exit_code 1 "$BIN/eelgrass_entry" --id x --domain d --peer-listen "127.0.0.1:$(port peer 1)"
grep -q "cannot start: step=listen" "$WORK/out"
expect_exit_code 1 ctl jobs show none
# Two operators apply changes to the same version: the second is refused and gets the conflicting
# change.
ctl change new >"$WORK/doc.json"
expect_exit_code 0 ctl --note first config apply "$WORK/doc.json"
expect_exit_code 1 ctl --note second config apply "$WORK/doc.json"
grep -q "written by change" "$WORK/out"
stop_all
