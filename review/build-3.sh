#!/usr/bin/env bash
# The stand-ins of the scripts use Python's standard library only. Checks that
# they can be loaded and that the build of the deploy file has put the
# libraries of the node in place.
set -euo pipefail
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 -c "import fleet_3"
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=../target/deps:.. python3 -c "import magnoliafork.platform.daemon"
