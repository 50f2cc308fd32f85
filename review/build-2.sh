#!/bin/sh
# The stand-ins of the cases from 4 on are Python files without dependencies: checked here, not built.
set -e
cd "$(dirname "$0")/.."
for file in review/standins-2/*.py review/[4-8]/*.py; do
    [ ! -e "$file" ] || python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
