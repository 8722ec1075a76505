TOKEN = secret_header(header="Authorization", secret="booking-token", prefix="Bearer ")

route(name="read", host="booking", path="/echo", methods=["GET"], to="booking", timeout="10s")
route(name="write", host="booking", path="/echo", methods=["POST"], to="booking", timeout="10s", secrets=[TOKEN])
route(name="chain", host="booking", path="/call", methods=["POST"], to="booking", timeout="10s")
for name in ["events", "download", "upload", "upgrade"]:
    route(name=name, host="booking", path="/" + name, to="booking", timeout="1h", repeat=[])
