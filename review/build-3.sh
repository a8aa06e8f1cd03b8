#!/bin/sh
# Checks the stand-ins of the cases 12 on. They need nothing but Python; the
# entries come from the build of the deploy file (target/deps).
cd "$(dirname "$0")" || exit 1
python="$(command -v python3.11 || command -v python3)" || exit 1
for file in standins-3/*.py [0-9]*/play.py; do
    "$python" -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file" ||
        exit 1
done
[ -d ../target/deps/amaranthrail ] || {
    echo "target/deps is missing: run the build of deploy/system.toml" >&2
    exit 1
}
echo "stand-ins checked"
