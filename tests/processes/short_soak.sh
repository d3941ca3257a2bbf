#!/usr/bin/env bash
# A short run of the fault soak with a fixed seed, and the seeds that have failed once.
set -euo pipefail
cd "$(dirname "$0")/../.."
status=0
output="$(scripts/soak --binaries "$BIN" --first 7 --seeds 1 --kept --seconds 8 2>&1)" || status=$?
echo "$output"
# Broken promises are indented; KNOWN-RED.txt may list this one kind, alone.
if [ "$status" -ne 0 ] && broken="$(grep '^  ' <<<"$output")" &&
  ! grep -qvE '^  agent-[0-9]+ ended with -15 after SIGTERM$' <<<"$broken"; then
  echo "nothing broken but that agents were ended by SIGTERM"
fi
exit "$status"
