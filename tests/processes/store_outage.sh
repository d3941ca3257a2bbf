#!/usr/bin/env bash
# The platform's store goes down right after a change was applied: requests are still served, the
# change takes effect in every process, jobs are refused, and all of it recovers afterwards.
set -euo pipefail
cd "$(dirname "$0")/../.."
WORK="$(mktemp -d)"
DEPLOYMENT=charqui
BASE_PORT=24000
source scripts/deployment.sh
trap kill_all EXIT
source scripts/start-example.sh

all_agents_at_version() {
  ctl --json yes config everywhere | python3 -c '
import json, sys
tree = json.load(sys.stdin)
agents = [p["version"] for p in tree["processes"] if p["role"] != "entry"]
sys.exit(0 if len(agents) == 20 and set(agents) == {int(sys.argv[1])} else 1)' "$1"
}

entry_at_version() {
  curl -sf "http://127.0.0.1:$(port entry "$1")/metrics" | grep -q "^eelgrass_config_version $2\$"
}

ctl domains out godoy
curl -sf "http://127.0.0.1:$(port platform)/control/faults?target=store&down=1" >/dev/null
wait_for 2 all_agents_at_version 2
for i in 1 2 3; do wait_for 2 entry_at_version "$i" 2; done

"$BIN/eelgrass_load" --entries "$(entry_list 3 entry)" --platform "127.0.0.1:$(port platform)" \
  --tokens "$TOKENS" --requests 400 --rate 200 --keyed 50
sleep 3
if ctl jobs submit examples/charqui-jobs.json >"$WORK/submit.txt" 2>&1; then
  echo "a job was accepted while the store was down"
  exit 1
fi
grep -q "table service does not answer" "$WORK/submit.txt"
curl -sf "http://127.0.0.1:$(port platform)/control/faults?target=store" >/dev/null
sleep 3
ctl jobs submit examples/charqui-jobs.json >/dev/null
ctl domains in godoy
"$BIN/eelgrass_load" --entries "$(entry_list 3 entry)" --requests 0 \
  --platform "127.0.0.1:$(port platform)" --jobs-token "$OPERATOR_TOKEN" --jobs-wait-s 60
stop_all
