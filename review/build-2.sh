#!/bin/sh
# Build what the cases 6 to 10 start. All stand-ins are Python: the project's
# own store (standins/keyedlog.py), and review/bed2.py and review/ranks2.py.
# They run from their sources, with the libraries of the deploy file's build.
set -e
cd "$(dirname "$0")/.."
[ -d target/deps/amaranthrail ]
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:.:review \
    python3 -c 'import bed2, ranks2, standins.keyedlog'
