#!/bin/sh
# Writes what was sent, run and answered to review/1/record.txt.
cd "$(dirname "$0")/../.."
export PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="target/deps:review:."
python3 -c "import mesh" || exit 2
exec python3 review/1/case.py review/1/record.txt
