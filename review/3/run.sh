#!/bin/bash
# Exit: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -d target/deps ] || { echo "build first: the build command of deploy/system.toml" >&2; exit 2; }
export PYTHONPATH=target/deps:src:review/common PYTHONDONTWRITEBYTECODE=1
exec timeout -k 5 112 python3 review/3/case.py
