package hop

import (
	"net/http"
	"strings"
)

// HeaderAdmission is the name of the field that says how a request may wait. Without it, a sidecar keeps a
// request for MaxWait; sidecars of earlier versions do so in any case.
const HeaderAdmission = "Winchhead-Hop-Admission"

// Admission says how a request may wait for a slot.
type Admission struct {
	// Late is set if a late response is wanted as well: the request may wait for it up to its latest start,
	// as long as it is forecast to start by then. The other fields apply only with it.
	Late bool
	// Retried is set if the caller was rejected before.
	Retried bool
	// Elsewhere is set if another instance may serve the request in time: it does not wait to be late.
	Elsewhere bool
}

// The flags of the field, separated by commas. Unknown ones are ignored.
const (
	flagLate      = "late"
	flagRetried   = "retried"
	flagElsewhere = "elsewhere"
	flagSeparator = ","
	// maxAdmissionLength bounds the text that is read.
	maxAdmissionLength = 64
)

// addTo adds the field to the header of a request.
func (a Admission) addTo(header http.Header) {
	if !a.Late {
		return
	}
	flags := []string{flagLate}
	if a.Retried {
		flags = append(flags, flagRetried)
	}
	if a.Elsewhere {
		flags = append(flags, flagElsewhere)
	}
	header[HeaderAdmission] = []string{strings.Join(flags, flagSeparator)}
}

// admissionFrom reads the field. A malformed one counts as missing.
func admissionFrom(header http.Header) Admission {
	values := header[HeaderAdmission]
	if len(values) != 1 || len(values[0]) > maxAdmissionLength {
		return Admission{}
	}
	var read Admission
	for flag := range strings.SplitSeq(values[0], flagSeparator) {
		switch flag {
		case flagLate:
			read.Late = true
		case flagRetried:
			read.Retried = true
		case flagElsewhere:
			read.Elsewhere = true
		}
	}
	if !read.Late {
		return Admission{}
	}
	return read
}
