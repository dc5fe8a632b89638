#!/bin/sh
# The stand-ins of the scripts in review/4 to review/8 are Python, with its
# standard library alone: the project's own of tests/fleet.py and the modules in
# review/harness2. Nothing is compiled; this checks that they can be loaded.
set -e
cd "$(dirname "$0")/.."
export PYTHONDONTWRITEBYTECODE=1
for script in review/harness2/*.py review/[4-8]/*.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$script"
done
(cd review/harness2 && python3 -c 'import deploy, fleet')
test -x target/wheattiller || {
    echo "target/wheattiller is missing: run the build of deploy/system.toml" >&2
    exit 1
}
