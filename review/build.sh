#!/bin/sh
# The stand-ins are Python files and need no build. This checks that they load
# with the libraries that the build command of the deploy file has installed.
set -e
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="target/deps:review:." python3 -c "import mesh"
