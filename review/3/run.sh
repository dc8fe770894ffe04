#!/bin/bash
# Exit: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -d target/deps ] || { echo "build first: the build command of deploy/system.toml" >&2; exit 2; }
export PYTHONPATH=target/deps:src:review/common PYTHONDONTWRITEBYTECODE=1
timeout -k 5 112 python3 review/3/case.py &
child=$!
trap 'kill -TERM "$child"' TERM INT
wait "$child"
status=$?
while kill -0 "$child" 2>/dev/null; do wait "$child"; status=$?; done
case $status in
  0) exit 0 ;;
  10) exit 1 ;;
  *) exit 2 ;;
esac
