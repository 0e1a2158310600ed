#!/usr/bin/env bash
# Fails when a lower layer includes a higher one. Order: programs > coordination > protocol > transport. All layers may
# include state; state includes none of them.
set -euo pipefail
cd "$(dirname "$0")/.."
failed=0
check() {
  local folder=$1 forbidden=$2
  if grep -rnE "#include \"($forbidden)/" "src/$folder"; then
    echo "src/$folder must not include: $forbidden"
    failed=1
  fi
}
check state 'transport|protocol|coordination|programs'
check transport 'protocol|coordination|programs'
check protocol 'coordination|programs'
check coordination 'programs'
# Only the adapter in platform/ may use the wire names of the platform.
if git grep -nE 'ackCursor|fencingToken|rowVersion|run-start|run-stop|checkpointData|apiKeys|maxPerServer|X-Hickorystall' -- src; then
  echo "src must not name fields or calls of the platform; platform/ translates them"
  failed=1
fi
exit $failed
