"""Header names, paths and kinds of the platform, each defined once."""

from __future__ import annotations

REQUEST_ID = b"request-id"
# A duration in milliseconds, although the name suggests a point in time.
TIME_LEFT = b"deadline-ms"
KEY = b"shard-key"
CALLER_SERVICE = b"caller-service"
EXPECTED_INSTANCE = b"target-instance"
NOT_RUN = b"not-executed"
SIGNATURE = b"response-signature"
LOAD = b"server-load"
RATE_LIMIT = b"server-limit"
LEAVING = b"server-leaving"
COLD_LEFT = b"cold-ms"
INSTANCE = b"instance-id"
HANDOVER = b"handover"
# Headers of upstreams that no text but a quoted answer contains.
ANSWER_MARKS = frozenset(
    {NOT_RUN, SIGNATURE, LOAD, RATE_LIMIT, LEAVING, COLD_LEFT, INSTANCE, HANDOVER}
)
STORE_ERA = b"store-era"
RETRY_AFTER = b"retry-after"

READY_PATH = b"/v1/ready"
INSTANCES_PATH = b"/v1/instances/"
ANNOUNCE_CALL = b"heartbeat"
LEAVE_CALL = b"deregister"
GRANT_PATH = b"/v1/grant"
RELEASE_PATH = b"/v1/release"
OBJECTS_PATH = "/v1/objects/"

CONFIGURATION_KIND = "config"
CONFIGURATION_NAME = "main"
ZONES_OUT_KIND = "evacuations"

SETTINGS_VARIABLE = "ROSEMARYDEAL_NODE_FILE"
SETTINGS_FILE = "/etc/rosemarydeal/node.toml"
