#!/usr/bin/env bash
# The stand-ins of the cases 6 to 9 are in Python (standard library only) and need no build: this checks that Python
# is there and that they can be read. Needs the build of the deploy file first, which puts the daemon into target/bin.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - review/stand_in_2/*.py review/[6-9]/*.py <<'PY'
import ast, sys
assert sys.version_info >= (3, 9), "Python 3.9 or newer is needed"
for name in sys.argv[1:]:
    ast.parse(open(name).read(), name)
PY
test -x target/bin/kumquatcoved || echo "target/bin/kumquatcoved is missing: run the build of deploy/system.toml" >&2
