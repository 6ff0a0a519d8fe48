#!/usr/bin/env bash
# Checks the stand-ins of the cases 6 to 10. They are Python scripts that use the standard library only, on any kind
# of machine; the balancer itself is built by the command of deploy/balancer.toml.
set -euo pipefail
cd "$(dirname "$0")"
python3 - standins2.py flood2.py 6/case.py 7/case.py 8/case.py 9/case.py 10/case.py <<'PYTHON'
import sys

assert sys.version_info >= (3, 8), "Python 3.8 or later is required"
for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as file:
        compile(file.read(), name, "exec")
PYTHON
program=$(sed -n 's/^run = "exec \([^ ]*\).*/\1/p' ../deploy/balancer.toml)
test -x "../$program" || { echo "build $program first, by the command of deploy/balancer.toml" >&2; exit 1; }
