# Booking and dispatch. A booking, a confirmation and the assignment of a crew
# run at most once: their methods are in no repeat= list.

HOST = "reservas.mesh"
KEY = secret_header(header = "X-Reservas-Key", secret = "reservas-key")

# Leave the own zone early while it is short of instances, so that a late request
# does not wait for the only one.
spill_over = 0.8
if not ready("reservas", at_least = 3):
    spill_over = 0.5

# Dispatchers and families read bookings; reading again does no harm.
route(
    name = "read",
    host = HOST,
    path = "/bookings",
    methods = ["GET", "HEAD"],
    to = "reservas",
    timeout = "2s",
    attempts = 3,
    spill_over = spill_over,
    max_in_flight = 12,
    secrets = [KEY],
)

# Bookings, changes and cancellations.
route(
    name = "book",
    host = HOST,
    path = "/bookings",
    methods = ["POST", "PUT", "PATCH", "DELETE"],
    to = "reservas",
    timeout = "5s",
    repeat = [],
    attempts = 3,
    spill_over = spill_over,
    secrets = [KEY],
)

# Assigning crews. Another attempt is made only after a refusal as not run.
route(
    name = "dispatch",
    host = HOST,
    path = "/dispatch",
    methods = ["POST", "PUT"],
    to = "reservas",
    timeout = "5s",
    repeat = [],
    attempts = 3,
    spill_over = spill_over,
    secrets = [KEY],
)
