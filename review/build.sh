#!/bin/sh
# The stand-ins of these cases are Python scripts that use its standard library
# alone, so that nothing is compiled here: this checks that they can be loaded.
set -e
cd "$(dirname "$0")/.."
export PYTHONDONTWRITEBYTECODE=1
for script in review/*.py review/[0-9]/*.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$script"
done
test -x target/wheattiller || {
    echo "target/wheattiller is missing: run the build of deploy/system.toml" >&2
    exit 1
}
