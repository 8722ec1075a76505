# Records of the plants: read by technicians, written by controllers.

HOST = "plant.mesh"
TOKEN = secret_header(header = "Authorization", secret = "plant-token", prefix = "Bearer ")

route(
    name = "read",
    host = HOST,
    path = "/plants",
    methods = ["GET", "HEAD"],
    to = "plant-data",
    timeout = "2s",
    attempts = 3,
    secrets = [TOKEN],
)

# A record that is written twice would count twice on a resident's bill.
route(
    name = "write",
    host = HOST,
    path = "/plants",
    methods = ["POST", "PUT"],
    to = "plant-data",
    timeout = "4s",
    repeat = [],
    secrets = [TOKEN],
)
