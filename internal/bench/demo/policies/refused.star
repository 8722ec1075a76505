# A valid route and an error: no revision contains a service of that name.
route(name="read-trips", path="/trips", methods=["GET"], to="seguimiento")
route(name="book", path="/bookings", methods=["POST"], to="ambulancias")
