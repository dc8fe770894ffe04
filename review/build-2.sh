#!/bin/bash
# Builds the stand-ins that the scripts of review/4 to review/8 start. They are Python without other libraries, so
# that nothing is left but to compile them, which shows whether they can run. The routers are built by the command
# `build` of deploy/system.toml.
cd "$(dirname "$0")" || exit 1
for file in common-2/*.py [4-8]/*.py; do
    python3 -B -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file" || exit 1
done
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
