package hop

import (
	"net/http"
	"strconv"

	"github.com/rotisserie/eris"

	"github.com/winchhead/winchhead/internal/dataplane/statement"
)

// HeaderLimit is the name of the field with the limit that the instance of an order has stated. Sidecars of
// earlier versions read the order without it.
const HeaderLimit = "Winchhead-Hop-Limit"

// AddTo adds the order to the header of a request.
func (o Order) AddTo(header http.Header) {
	header[Header] = []string{o.Encode()}
	o.Admission.addTo(header)
	if o.StatedLimit.Stated {
		header[HeaderLimit] = []string{strconv.FormatFloat(o.StatedLimit.PerSecond, 'f', -1, 64)}
	}
}

// OrderFrom reads the order from the header of a request.
func OrderFrom(header http.Header) (Order, error) {
	order, err := DecodeOrder(header.Get(Header))
	if err != nil {
		return order, err
	}
	order.Admission = admissionFrom(header)
	values := header[HeaderLimit]
	if len(values) == 0 {
		return order, nil
	}
	perSecond, ok := statement.ParseRate(values[0])
	if !ok || len(values) > 1 {
		return order, eris.Errorf("%s: %q is not a rate", HeaderLimit, values)
	}
	order.StatedLimit = statement.Limit{Stated: true, PerSecond: perSecond}
	return order, nil
}

// Strip removes the fields of the order from the header of a request.
func Strip(header http.Header) {
	delete(header, Header)
	delete(header, HeaderLimit)
	delete(header, HeaderAdmission)
}

// StartShare is the share of the expected service time that must be left when the instance begins.
// With less time, its work would most likely be wasted.
const StartShare = 0.7
