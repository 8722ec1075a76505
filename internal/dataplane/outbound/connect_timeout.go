package outbound

import (
	"errors"
	"net"

	"github.com/winchhead/winchhead/internal/dataplane/client"
)

// isConnectTimeout reports whether a request was not sent because an attempt to connect or a liveness check
// got no answer in time. A saturated link delays both, but causes no refused or reset connection.
func isConnectTimeout(failure *client.Error) bool {
	var network net.Error
	return failure.Progress == client.NotSent && errors.As(failure.Err, &network) && network.Timeout()
}
