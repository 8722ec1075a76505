# Setpoints and schedules. A change runs at most once: a doubled one would cycle
# a boiler.

HOST = "setpoint.mesh"
KEY = secret_header(header = "X-Setpoint-Key", secret = "setpoint-key")

for kind in ["setpoints", "schedules"]:
    route(
        name = "change-" + kind,
        host = HOST,
        path = "/" + kind,
        methods = ["POST", "PUT", "PATCH", "DELETE"],
        to = "setpoint-svc",
        timeout = "5s",
        repeat = [],
        attempts = 3,
        spill_over = 0.7,
        secrets = [KEY],
    )
    route(
        name = "read-" + kind,
        host = HOST,
        path = "/" + kind,
        methods = ["GET", "HEAD"],
        to = "setpoint-svc",
        timeout = "2s",
        attempts = 3,
        max_in_flight = 6,
        secrets = [KEY],
    )
