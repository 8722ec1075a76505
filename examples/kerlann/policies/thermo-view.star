# Temperatures and boiler status, read by caretakers and residents.

HOST = "thermo.mesh"

# A night with one instance left: answer from the whole region at once.
whole_region = not ready("thermo-view", at_least = 2)

for kind in ["temperatures", "boilers"]:
    if whole_region:
        route(
            name = kind,
            host = HOST,
            path = "/" + kind,
            methods = ["GET", "HEAD"],
            to = "thermo-view",
            timeout = "3s",
            prefer_zone = False,
        )
    else:
        route(
            name = kind,
            host = HOST,
            path = "/" + kind,
            methods = ["GET", "HEAD"],
            to = "thermo-view",
            timeout = "2s",
            max_in_flight = 8,
        )
