#!/usr/bin/env bash
# The stand-ins are Python scripts of the standard library: nothing is compiled, only checked.
set -euo pipefail
cd "$(dirname "$0")"
for file in *.py */*.py; do
  python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
test -x ../target/deploy/bronzespindle || echo "note: the build of the deploy file comes first"
