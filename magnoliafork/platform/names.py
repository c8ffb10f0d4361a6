"""Store keys, URL paths and HTTP header names of the users' platform."""

CONFIG_KEY = "op/config"
EVACUATION_PREFIX = "op/evacuate/"
SERVER_PREFIX = "servers/"

KEY_PATH = "/kv-key"
RANGE_PATH = "/kv-range"
WATCH_PATH = "/kv-watch"
READY_PATH = "/ready"

ATTEMPT_ID = "Magnoliafork-Attempt-Id"
DEADLINE_MS = "Magnoliafork-Deadline-Ms"
SEAL = "Magnoliafork-Server-Seal"
EXPECT_INSTANCE = "Magnoliafork-Expect-Instance"
NOT_EXECUTED = "Magnoliafork-Not-Executed"
CALLER_SERVICE = "Magnoliafork-Caller-Service"
TENANT = "Magnoliafork-Tenant"
AUTHORIZATION = "Authorization"
# Authentication scheme of API keys; schemes are compared without case.
API_KEY_SCHEME = "Token"
INSTANCE_ID = "Magnoliafork-Instance-Id"
COLD_MS = "Magnoliafork-Cold-Ms"
# Requests per second that a server takes from all machines together.
SERVER_LIMIT = "Server-Limit"
SERVER_LEAVING = "Server-Leaving"
# Rises by one each time the store comes back from an older copy.
STORE_ERA = "Store-Era"
