#!/usr/bin/env bash
# Checks that the stand-ins of the cases 6 to 10 can be imported. They are
# Python, and use the packages that the build of the deploy file installs.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH="target/deps:packages/standins:review/common-2" PYTHONDONTWRITEBYTECODE=1
python3 -c "import harness"
