"""Header names, paths and object kinds of the platform's protocol.

The platform calls a backend server an instance. In this program an instance is an entry
instance, so the constants below say "server".
"""

# Id that the client gives a request. A client that retries a request gives it a new id. The
# attempts that an entry instance makes for one request all carry the same id.
REQUEST_ID = "x-attempt-id"
# Milliseconds for which the client still waits; despite the header's name not a point in time.
TIME_LEFT_MS = "x-deadline-ms"
# Key of the object that the request concerns.
OBJECT_KEY = "x-affinity-key"
# Key of the client account, which the platform calls tenant, on whose behalf a request is sent.
API_KEY = "api-key"
# Name of that account, in requests to backend servers.
TENANT = "x-tenant"
# Id of the backend server that the request is meant for.
EXPECTED_SERVER = "x-expected-instance"
# Id of the backend server that answered.
SERVER_ID = "x-instance-id"
# Present in a response if the backend server did not run the request.
NOT_EXECUTED = "x-not-executed"
# Requests a second that the backend server takes from all entry instances together. Present in
# a response for as long as the server limits them.
SERVER_LIMIT = "server-limit"
# Load of a backend server at the time of its response: running and waiting requests and slots,
# and on some servers the time that work takes at the moment in percent of the usual one.
SERVER_LOAD = "x-server-load"
# Present in all responses of a backend server that leaves; it wants no new requests.
SERVER_LEAVING = "server-leaving"
# Seconds, in a 503 of a backend server, for which it wants no requests from the receiver.
RETRY_AFTER = "retry-after"
# Number in all responses of the store, which rises when it comes back from an older copy.
STORE_ERA = "store-era"

RESOLVE_PATH = "/-/resolve"
OBJECTS_PATH = "/-/objects/"

CONFIG_KIND = "config"
CONFIG_NAME = "main"
SERVERS_KIND = "servers"
EVACUATIONS_KIND = "evacuations"
# Kind of which there are no objects; it is asked for to find out whether the store answers.
PROBE_KIND = "probes"
