#!/usr/bin/env bash
# A short run of the fault soak with a fixed seed, and the seeds that have failed once.
set -euo pipefail
cd "$(dirname "$0")/../.."
exec scripts/soak --binaries "$BIN" --first 7 --seeds 1 --kept --seconds 8
