#!/bin/sh
# Builds what the scripts of the cases start beside the hosts. The stand-ins are
# Python modules: the project's own store, and those in review/. They need no
# package beyond those that the build of the deploy file puts into target/deps.
set -e
cd "$(dirname "$0")/.."
[ -d target/deps ] || {
  echo "run the build of deploy/system.toml first" >&2
  exit 1
}
python3 - <<'PYTHON'
import pathlib

for folder in ("review", "packages/standins/sycamoreloft_standins"):
    for path in sorted(pathlib.Path(folder).rglob("*.py")):
        compile(path.read_bytes(), str(path), "exec")
PYTHON
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:packages/standins \
  python3 -c "from sycamoreloft_standins import rows"
