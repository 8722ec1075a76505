# Patient and clinic records.

HOST = "pacientes.mesh"
TOKEN = secret_header(header = "Authorization", secret = "pacientes-token", prefix = "Bearer ")

# Reads of mobility records yield to changes while few instances are ready.
reads_at_once = 14
if not ready("pacientes", at_least = 2):
    reads_at_once = 6

for kind in ["patients", "clinics"]:
    route(
        name = "read-" + kind,
        host = HOST,
        path = "/" + kind,
        methods = ["GET", "HEAD"],
        to = "pacientes",
        timeout = "2s",
        attempts = 3,
        max_in_flight = reads_at_once,
        secrets = [TOKEN],
    )
    route(
        name = "change-" + kind,
        host = HOST,
        path = "/" + kind,
        methods = ["POST", "PUT", "PATCH", "DELETE"],
        to = "pacientes",
        timeout = "4s",
        repeat = [],
        secrets = [TOKEN],
    )
