#!/bin/sh
# Builds what the scripts of the second review start, after the build of the
# deploy file: the stand-ins of the store and of the targets are modules of the
# project, which `deploy/build` places under target/deps; those of the review
# are single Python files. Nothing is fetched.
set -e
cd "$(dirname "$0")/.."
test -d target/deps/rattanstile/standin || sh deploy/build
PYTHONPATH=target/deps python3 -OO -c '
import rattanstile.platform.__main__
import rattanstile.standin.platform_fleet
'
python3 - <<'CHECK'
import pathlib
for path in sorted(pathlib.Path('review/lib-2').glob('*.py')):
    compile(path.read_text(), str(path), 'exec')
for number in range(6, 11):
    for path in sorted(pathlib.Path(f'review/{number}').glob('*.py')):
        compile(path.read_text(), str(path), 'exec')
CHECK
