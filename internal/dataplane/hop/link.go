package hop

import (
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// HeaderLink is the name of the field with the backlog of the link by which a sidecar sends its
// responses. The field is listed in Connection, so that sidecars of earlier versions, which do not
// know it, remove it before the response goes to a caller.
const HeaderLink = "Winchhead-Hop-Link"

const (
	headerConnection = "Connection"
	linkFields       = 2
	// maxLinkBacklog and maxLinkRate bound the figures of the field: no request waits for a minute, and
	// no link is faster than 128 GiB per second.
	maxLinkBacklog = time.Minute
	maxLinkRate    = 1 << 27
)

// Link is how busy the egress direction of a machine's link is. The zero value says that it is not
// known, or that no route of the instance has large responses.
type Link struct {
	// Backlog is how long the link takes to send what is queued and expected.
	Backlog time.Duration
	// Rate is the rate at which the link sends bodies, in KiB per second; zero: not known.
	Rate int
}

// IsKnown reports whether the link was reported.
func (l Link) IsKnown() bool { return l.Rate > 0 }

// After returns the link as it is expected to be some time later, when it has sent that much more of
// its backlog.
func (l Link) After(elapsed time.Duration) Link {
	l.Backlog = max(l.Backlog-max(elapsed, 0), 0)
	return l
}

// Encode returns the text of the field HeaderLink.
func (l Link) Encode() string {
	return millis(min(l.Backlog, maxLinkBacklog)) + separator + strconv.Itoa(min(max(l.Rate, 1), maxLinkRate))
}

// DecodeLink reads the text of the field HeaderLink.
func DecodeLink(text string) (Link, error) {
	fields := strings.Split(text, separator)
	if len(fields) != linkFields {
		return Link{}, eris.Errorf("%s has %d fields, want %d", HeaderLink, len(fields), linkFields)
	}
	backlog, err := strconv.ParseUint(fields[0], 10, 32)
	if err != nil || backlog > uint64(maxLinkBacklog.Milliseconds()) {
		return Link{}, eris.Errorf("%s: %q is not a backlog in milliseconds", HeaderLink, fields[0])
	}
	rate, err := strconv.ParseUint(fields[1], 10, 32)
	if err != nil || rate == 0 || rate > maxLinkRate {
		return Link{}, eris.Errorf("%s: %q is not a rate in KiB per second", HeaderLink, fields[1])
	}
	return Link{Backlog: time.Duration(backlog) * time.Millisecond, Rate: int(rate)}, nil
}
