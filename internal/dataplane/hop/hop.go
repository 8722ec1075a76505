// Package hop encodes what two sidecars tell each other about a request: an Order with the
// request and a Report with the response. Callers and instances never see their header fields.
package hop

import (
	"net/url"
	"strconv"
	"strings"
	"time"
	"unicode"

	"github.com/rotisserie/eris"

	"github.com/winchhead/winchhead/internal/dataplane/statement"
)

// Header is the name of the field, in requests and in responses.
const Header = "Winchhead-Hop"

const separator = ";"

// Order tells the sidecar of an instance what to do with a request.
type Order struct {
	// Instance is the name of the instance that the request is for.
	Instance string
	// CallerService is the service whose sidecar sent the request.
	CallerService string
	Priority      int
	// ValueRank ranks what the response is still worth to its caller; 0 is the most.
	ValueRank int
	// Remaining is the time to the request's deadline when it was sent.
	Remaining time.Duration
	// Due is how long the request may wait and still be worth the most; requests of one
	// priority are ordered by it.
	Due time.Duration
	// MaxWait is how long the request may wait for a slot.
	MaxWait time.Duration
	// ServiceTime is how long the instance is expected to work on the request.
	ServiceTime time.Duration
	// MeanServiceTime is how long an instance of average speed takes, as observed by the sender.
	MeanServiceTime time.Duration
	// Revision is the revision of the configuration by which the sender chose the instance.
	Revision uint64
	// Repeatable is set when the request may run more than once.
	Repeatable bool
	// OnlyCandidate is set when the request cannot be sent to any other instance.
	OnlyCandidate bool
	// RepeatPercent is the probability, in percent, that this send counts as a repeat. It is CertainRepeat
	// when an instance already received the request; otherwise it is the probability that the
	// request was sent by the run of a repeated request.
	RepeatPercent int
	// Failed is set when an instance already answered that the request failed.
	Failed bool
	// Suspected is set when the request may have crashed an instance before.
	Suspected bool
	// Tenant is the tenant that the request belongs to, and KeyTag the tag of its key; both are
	// empty for an anonymous request.
	Tenant, KeyTag string
	// StatedLimit is the limit that the instance stated in its answers, as far as the sender knows. It has
	// a field of its own, HeaderLimit.
	StatedLimit statement.Limit
	// Local is set when the sender is the sidecar of the instance itself. It is not transmitted.
	Local bool
	// Admission says how the request may wait. It has a field of its own, HeaderAdmission.
	Admission Admission
}

// CertainRepeat is the value of RepeatPercent for a send that is a repeat for sure.
const CertainRepeat = 100

// The number of fields of an order: of most, of one with a suspected request, and of one with a
// tenant. Fields without content are omitted, so that sidecars of earlier versions can read most
// orders.
const (
	orderFields          = 14
	suspectedOrderFields = orderFields + 1
	tenantOrderFields    = suspectedOrderFields + 2
)

// The encoded boolean values.
const (
	textFalse = "0"
	textTrue  = "1"
)

// Encode returns the text of the field.
func (o Order) Encode() string {
	text := strings.Join([]string{
		o.Instance, encodeText(o.CallerService), strconv.Itoa(o.Priority), strconv.Itoa(o.ValueRank),
		millis(o.Remaining), millis(o.Due), millis(o.MaxWait), millis(o.ServiceTime), millis(o.MeanServiceTime), strconv.FormatUint(o.Revision, 10),
		encodeBool(o.Repeatable), encodeBool(o.OnlyCandidate), strconv.Itoa(o.RepeatPercent), encodeBool(o.Failed),
	}, separator)
	switch {
	case o.Tenant != "":
		return strings.Join([]string{text, encodeBool(o.Suspected), encodeText(o.Tenant), o.KeyTag}, separator)
	case o.Suspected:
		return text + separator + encodeBool(true)
	default:
		return text
	}
}

// DecodeOrder reads the text of the field.
func DecodeOrder(text string) (Order, error) {
	fields := strings.Split(text, separator)
	switch len(fields) {
	case orderFields, suspectedOrderFields, tenantOrderFields:
	default:
		return Order{}, eris.Errorf("%s has %d fields, want %d, %d or %d", Header, len(fields), orderFields, suspectedOrderFields, tenantOrderFields)
	}
	reader := fieldReader{fields: fields[2:]}
	order := Order{
		Instance: fields[0], CallerService: decodeText(fields[1]), Priority: int(reader.number()), ValueRank: int(reader.number()),
		Remaining: reader.duration(), Due: reader.duration(), MaxWait: reader.duration(), ServiceTime: reader.duration(),
		MeanServiceTime: reader.duration(), Revision: uint64(reader.number()), Repeatable: reader.boolean(), OnlyCandidate: reader.boolean(),
		RepeatPercent: reader.percent(), Failed: reader.boolean(),
	}
	if len(fields) >= suspectedOrderFields {
		order.Suspected = reader.boolean()
	}
	if len(fields) == tenantOrderFields {
		order.Tenant, order.KeyTag = decodeText(reader.text()), reader.text()
		if order.Tenant == "" && reader.err == nil {
			reader.err = eris.Errorf("%s: the tenant is empty", Header)
		}
	}
	return order, reader.err
}

// encodeText escapes a name that contains anything but printable ASCII characters, or a separator. Sidecars
// of earlier versions can read all other names.
func encodeText(name string) string {
	needsEscape := func(r rune) bool {
		return r <= ' ' || r >= unicode.MaxASCII || r == '%' || strings.ContainsRune(separator, r)
	}
	if !strings.ContainsFunc(name, needsEscape) {
		return name
	}
	return url.PathEscape(name)
}

func decodeText(encoded string) string {
	name, err := url.PathUnescape(encoded)
	if err != nil {
		return encoded // from a sidecar that does not escape names
	}
	return name
}

func encodeBool(set bool) string {
	if set {
		return textTrue
	}
	return textFalse
}

// Outcome is what became of a request at the sidecar of an instance.
type Outcome string

// The outcomes.
const (
	// Answered: the response comes from the instance.
	Answered Outcome = "a"
	// Refused: the request was not sent to the instance and will not be.
	Refused Outcome = "r"
	// Rejected: the instance responded that it did not run the request.
	Rejected Outcome = "j"
	// Unknown: the request was sent to the instance, but there is no valid response.
	Unknown Outcome = "u"
)

// Reason is why a request was not answered by its instance.
type Reason string

// The reasons.
const (
	ReasonNone       Reason = ""
	ReasonOverloaded Reason = "overloaded"
	// ReasonRejected: the instance did not run the request although it has free slots.
	ReasonRejected      Reason = "rejected"
	ReasonLink          Reason = "link-busy"
	ReasonCold          Reason = "cold"
	ReasonDraining      Reason = "draining"
	ReasonEvacuated     Reason = "evacuated"
	ReasonWrongInstance Reason = "wrong-instance"
	ReasonUnconfigured  Reason = "unconfigured"
	ReasonDeadline      Reason = "deadline"
	ReasonCancelled     Reason = "cancelled"
	ReasonConnect       Reason = "connect-failed"
	ReasonBroken        Reason = "connection-broken"
	// ReasonCrashed: the instance crashed while it worked on the request.
	ReasonCrashed   Reason = "instance-crashed"
	ReasonInvalid   Reason = "invalid-answer"
	ReasonMalformed Reason = "malformed"
	// ReasonCrashesInstances: requests with this content crash the instances that run them.
	ReasonCrashesInstances Reason = "crashes-instances"
	// ReasonProbe: the instance is running another suspected request as a trial.
	ReasonProbe Reason = "probe"
	// ReasonKeyRevoked: the tenant of the request no longer has its key.
	ReasonKeyRevoked Reason = "key-revoked"
	// ReasonLimited: the limit that the instance states leaves no room.
	ReasonLimited Reason = "limited"
	// ReasonRepeats: the calls that a repeated run makes would exceed the limit on repeats.
	ReasonRepeats Reason = "repeat-bound"
)

// Report is what the sidecar of an instance reports with a response.
type Report struct {
	Outcome Outcome
	Reason  Reason
	// RetryAfter is when a slot is likely to be free; zero when not known.
	RetryAfter time.Duration
	// Running and Waiting are the numbers of the instance's requests, Slots that of its slots.
	Running, Waiting, Slots int
	// Execution is how long the instance worked on this request.
	Execution time.Duration
	// Backlog is how long large bodies will occupy the network link of the instance, and
	// LinkRate the rate at which the link transfers them, in KiB per second.
	Backlog  time.Duration
	LinkRate int
	// SlowdownPercent is the instance's execution time in percent of that of an instance of average
	// speed (see Order.MeanServiceTime); zero when not known.
	SlowdownPercent int
	// Waited is how long the request waited for a slot.
	Waited time.Duration
	// ColdFor is how much longer the instance counts as cold after its start; zero: it is warm.
	ColdFor time.Duration
	// ExternalCallers is set when the sidecars of all services send requests of this route: external
	// callers send them, not instances.
	ExternalCallers bool
	// Link is the backlog of responses on the instance's link. It has a field of its own, HeaderLink.
	Link Link
	// MomentaryPercent is how long the instance takes at the moment, in percent of its usual time; zero when
	// not known. It has a field of its own, HeaderMomentary.
	MomentaryPercent int
}

const reportFields = 13

// HeaderPace is the name of the field in which a sidecar that accepts a body names the rate at
// which it does so, in bytes per second.
const HeaderPace = "Winchhead-Pace"

// Encode returns the text of the field.
func (r Report) Encode() string {
	return strings.Join([]string{
		string(r.Outcome), string(r.Reason), millis(r.RetryAfter),
		strconv.Itoa(r.Running), strconv.Itoa(r.Waiting), strconv.Itoa(r.Slots), millis(r.Execution),
		millis(r.Backlog), strconv.Itoa(r.LinkRate), strconv.Itoa(r.SlowdownPercent), millis(r.Waited), millis(r.ColdFor),
		encodeBool(r.ExternalCallers),
	}, separator)
}

// DecodeReport reads the text of the field.
func DecodeReport(text string) (Report, error) {
	fields := strings.Split(text, separator)
	if len(fields) != reportFields {
		return Report{}, eris.Errorf("%s has %d fields, want %d", Header, len(fields), reportFields)
	}
	reader := fieldReader{fields: fields[2:]}
	report := Report{
		Outcome: Outcome(fields[0]), Reason: Reason(fields[1]), RetryAfter: reader.duration(),
		Running: int(reader.number()), Waiting: int(reader.number()), Slots: int(reader.number()),
		Execution: reader.duration(), Backlog: reader.duration(), LinkRate: int(reader.number()),
		SlowdownPercent: int(reader.number()), Waited: reader.duration(), ColdFor: reader.duration(),
		ExternalCallers: reader.boolean(),
	}
	switch report.Outcome {
	case Answered, Refused, Rejected, Unknown:
		return report, reader.err
	default:
		return report, eris.Errorf("%s: unknown outcome %q", Header, report.Outcome)
	}
}

// fieldReader decodes fields one after the other and keeps the first error.
type fieldReader struct {
	fields []string
	err    error
}

func (r *fieldReader) number() int64 {
	if len(r.fields) == 0 {
		return 0
	}
	value, err := strconv.ParseInt(r.fields[0], 10, 64)
	if err != nil && r.err == nil {
		r.err = eris.Errorf("%s: %q is not a number", Header, r.fields[0])
	}
	r.fields = r.fields[1:]
	return value
}

func (r *fieldReader) text() string {
	text := r.fields[0]
	r.fields = r.fields[1:]
	return text
}

func (r *fieldReader) boolean() bool {
	text := r.fields[0]
	r.fields = r.fields[1:]
	if text != textTrue && text != textFalse && r.err == nil {
		r.err = eris.Errorf("%s: %q is neither %s nor %s", Header, text, textFalse, textTrue)
	}
	return text == textTrue
}

// percent reads a probability in percent, from 0 to CertainRepeat.
func (r *fieldReader) percent() int {
	value := r.number()
	if (value < 0 || value > CertainRepeat) && r.err == nil {
		r.err = eris.Errorf("%s: %d is not a probability in percent", Header, value)
	}
	return int(value)
}

func (r *fieldReader) duration() time.Duration { return time.Duration(r.number()) * time.Millisecond }

func millis(duration time.Duration) string {
	return strconv.FormatInt(max(duration, 0).Milliseconds(), 10)
}

// HeaderProgress is the name of the field by which a sender asks a sidecar for progress reports
// on a request.
const HeaderProgress = "Winchhead-Progress"
