"""Header names and paths of the platform's protocol."""

REQUEST_ID = "x-attempt-id"
TIME_LEFT_MS = "x-deadline-ms"
OBJECT_KEY = "x-affinity-key"
EXPECTED_SERVER = "x-expected-instance"
SERVER_ID = "x-instance-id"
NOT_EXECUTED = "x-not-executed"

RESOLVE_PATH = "/-/resolve"
OBJECTS_PATH = "/-/objects/"

CONFIG_KIND = "config"
CONFIG_NAME = "main"
SERVERS_KIND = "servers"
EVACUATIONS_KIND = "evacuations"
