# As submitted, and coordinators read mobility records if an instance is ready.
route(name="read-trips", path="/trips", methods=["GET"], to="seguimiento", timeout="45s")
route(name="book", path="/bookings", methods=["POST"], to="reservas", timeout="30s",
      secrets=[secret_header(header="Authorization", secret="demo-token", prefix="Bearer ")])
if ready("pacientes"):
    route(name="read-patients", path="/patients", methods=["GET"], to="pacientes", timeout="30s")
