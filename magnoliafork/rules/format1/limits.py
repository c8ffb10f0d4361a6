"""Names and limits of format 1."""

import re

FORMAT = 1

OPERATIONS_PART = "operations"
SERVICE_PREFIX = "service/"
ROUTES_PREFIX = "routes/"

METHODS = ("GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE")

# Largest integer that every JSON reader represents exactly.
MAX_VERSION_NUMBER = 2**53 - 1
# Limits the memory that a node needs for the parts: 8 MB is a quarter of its
# memory budget for control work, and 23 times the expected size of all parts,
# 345 KB.
MAX_TOTAL_BYTES = 8_000_000
MAX_SERVICES = 2_000
MAX_ROUTES = 20_000
MAX_ZONES = 1_000
MAX_DRAINS = 20_000
MAX_COMMENT_LENGTH = 200
MAX_PATH_LENGTH = 1_024
MAX_HOST_LENGTH = 253
MAX_TARGETS = 16

MAX_SLOTS = 10_000
MAX_CONNECTIONS = 100_000
MAX_QUEUE = 100_000
MAX_RAMP_MS = 3_600_000
MAX_WEIGHT = 10_000
MAX_DEADLINE_MS = 600_000
MAX_RETRIES = 10

NAME = re.compile(r"[a-z][a-z0-9-]{0,62}")
