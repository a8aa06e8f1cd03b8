#!/bin/sh
# The stand-ins are Python of the standard library; this checks that they compile.
cd "$(dirname "$0")/.." || exit 1
for file in review/bed.py review/*/case.py; do
    python3.11 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file" || exit 1
done
[ -d target/deps/amaranthrail ] || { echo 'run the build of the deploy file first' >&2; exit 1; }
