#!/bin/sh
# Builds the stand-ins that the scripts of this review start.  They are Python files that use only
# the standard library and what the deploy file's build puts into target/deps, so this compiles them
# into a temporary folder, and checks that the deploy file's build has run.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH=target/deps python3 - <<'EOF'
import py_compile
import tempfile
from pathlib import Path

import bronzekeel.standins.template  # noqa: F401 (built by the deploy file)

sources = [*Path('review/standins-2').glob('*.py'), *Path('review').glob('[4-8]/run.py')]
with tempfile.TemporaryDirectory() as folder:
    for number, source in enumerate(sorted(sources)):
        py_compile.compile(str(source), cfile=str(Path(folder) / f'{number}.pyc'), doraise=True)
print(f'{len(sources)} stand-ins and scripts compiled')
EOF
