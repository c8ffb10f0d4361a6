#!/bin/sh
cd "$(dirname "$0")/../.."
PYTHONPATH="target/deps:review/common:." exec python3 review/1/case.py
