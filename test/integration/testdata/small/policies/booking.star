route(name="read", host="booking", methods=["GET"], to="booking", timeout="5s")
route(name="write", host="booking", methods=["POST"], to="booking", timeout="5s",
      secrets=[secret_header(header="Authorization", secret="booking-token", prefix="Bearer ")])
