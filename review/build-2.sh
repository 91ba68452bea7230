#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: they need Python 3.11 and its standard library
# only. The gateway's dependencies are installed by the build of the deploy file.
set -e
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
python3 -m py_compile world2.py worker2.py
for case in 6 7 8 9 10; do
    if [ -f "$case/case.py" ]; then
        python3 -m py_compile "$case/case.py"
    fi
done
