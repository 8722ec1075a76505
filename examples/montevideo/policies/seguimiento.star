# Trip tracking: many short reads and long event streams.

HOST = "seguimiento.mesh"

route(
    name = "status",
    host = HOST,
    path = "/trips",
    methods = ["GET", "HEAD"],
    to = "seguimiento",
    timeout = "1s",
    attempts = 3,
    max_in_flight = 16,
)

# Event streams of trips stay open for long.
route(
    name = "events",
    host = HOST,
    path = "/trips/events",
    methods = ["GET"],
    to = "seguimiento",
    timeout = "1h",
    repeat = [],
    attempts = 2,
)

# Crews report positions; a report that comes twice would move a trip back.
route(
    name = "report",
    host = HOST,
    path = "/trips",
    methods = ["POST", "PUT"],
    to = "seguimiento",
    timeout = "2s",
    repeat = [],
)
