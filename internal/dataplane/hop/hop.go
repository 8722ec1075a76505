// Package hop is what two nodes tell each other about a request, in one header
// field each way. Callers and instances never see the field.
package hop

import (
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Header is the name of the field, in requests and in answers.
const Header = "Winchhead-Hop"

const separator = ";"

// Order tells the node beside an instance what to do with a request.
type Order struct {
	// Instance is the name of the instance that is meant.
	Instance string
	// CallerService is the service beside which the request started.
	CallerService string
	Priority      int
	// Value is what the answer is still worth to its caller; 0 is the most.
	Value int
	// Remaining is the time left for the request when it was sent.
	Remaining time.Duration
	// Due is how long the request may wait and still be worth most; requests of one
	// priority go in that order.
	Due time.Duration
	// MaxWait is how long the request may wait for a slot.
	MaxWait time.Duration
	// Expected is how long the instance is expected to work on the request.
	Expected time.Duration
	// Ordinary is how long an instance of ordinary speed takes, by what the sender saw.
	Ordinary time.Duration
	// Revision is that of the configuration by which the sender chose.
	Revision uint64
	// Repeatable says that the request may run more than once.
	Repeatable bool
	// OnlyCandidate says that no other instance is left that could be asked instead.
	OnlyCandidate bool
	// Repeat is the probability, in hundredths, that this send counts as a repeat: Certain
	// when an instance got the request before, otherwise that of its being a call of a
	// run that was a repeat itself.
	Repeat int
	// Failed says that an instance answered before that the request failed.
	Failed bool
	// Suspected says that the request may have crashed an instance before.
	Suspected bool
}

// Certain is a Repeat without doubt.
const Certain = 100

// orderFields are those of an order. One more follows where the request is suspected, so that
// nodes of earlier versions read all other orders.
const orderFields = 14

// Marks stand for yes and no in the text of a field.
const (
	markNo  = "0"
	markYes = "1"
)

// Encode returns the text of the field.
func (o Order) Encode() string {
	text := strings.Join([]string{
		o.Instance, o.CallerService, strconv.Itoa(o.Priority), strconv.Itoa(o.Value),
		millis(o.Remaining), millis(o.Due), millis(o.MaxWait), millis(o.Expected), millis(o.Ordinary), strconv.FormatUint(o.Revision, 10),
		mark(o.Repeatable), mark(o.OnlyCandidate), strconv.Itoa(o.Repeat), mark(o.Failed),
	}, separator)
	if o.Suspected {
		text += separator + mark(true)
	}
	return text
}

// DecodeOrder reads the text of the field.
func DecodeOrder(text string) (Order, error) {
	fields := strings.Split(text, separator)
	if len(fields) != orderFields && len(fields) != orderFields+1 {
		return Order{}, eris.Errorf("%s has %d fields, want %d", Header, len(fields), orderFields)
	}
	reader := fieldReader{fields: fields[2:]}
	order := Order{
		Instance: fields[0], CallerService: fields[1], Priority: int(reader.number()), Value: int(reader.number()),
		Remaining: reader.duration(), Due: reader.duration(), MaxWait: reader.duration(), Expected: reader.duration(),
		Ordinary: reader.duration(), Revision: uint64(reader.number()), Repeatable: reader.mark(), OnlyCandidate: reader.mark(),
		Repeat: reader.hundredths(), Failed: reader.mark(),
	}
	if len(fields) > orderFields {
		order.Suspected = reader.mark()
	}
	return order, reader.err
}

func mark(set bool) string {
	if set {
		return markYes
	}
	return markNo
}

// Outcome tells what became of a request at the node beside an instance.
type Outcome string

// The outcomes.
const (
	// Answered: the answer is the instance's.
	Answered Outcome = "a"
	// Refused: the request did not reach the instance and never will.
	Refused Outcome = "r"
	// Rejected: the instance said that it did not run the request.
	Rejected Outcome = "j"
	// Unknown: the request was sent and there is no valid answer to it.
	Unknown Outcome = "u"
)

// Reason is why a request was not answered by its instance.
type Reason string

// The reasons.
const (
	ReasonNone          Reason = ""
	ReasonOverloaded    Reason = "overloaded"
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
	// ReasonCrashesInstances: requests of this content crash the instances that run them.
	ReasonCrashesInstances Reason = "crashes-instances"
	// ReasonProbe: another suspected request is tried at the instance.
	ReasonProbe Reason = "probe"
	// ReasonRepeats: the calls of a repeated run would go beyond the bound of repeats.
	ReasonRepeats Reason = "repeat-bound"
)

// Report is what the node beside an instance tells with an answer.
type Report struct {
	Outcome Outcome
	Reason  Reason
	// RetryAfter is when a slot is likely to be free; zero when not known.
	RetryAfter time.Duration
	// Running and Waiting count the instance's requests, Slots its slots.
	Running, Waiting, Slots int
	// Execution is how long the instance worked on this request.
	Execution time.Duration
	// Backlog is how long the link beside the instance is taken by large bodies, and
	// LinkRate the rate at which it takes them, in KiB a second.
	Backlog  time.Duration
	LinkRate int
	// Speed is how many times as long as ordinary the instance takes, in hundredths; zero
	// when not known.
	Speed int
	// Waited is how long the request waited for a slot.
	Waited time.Duration
	// ColdFor is how much longer the instance is cold after its start; zero: it is warm.
	ColdFor time.Duration
	// Shared says that requests of this route start beside all services: callers send them,
	// not instances.
	Shared bool
}

const reportFields = 13

// HeaderPace is the name of the field in which a node that takes a body names the rate
// at which it does, in bytes a second.
const HeaderPace = "Winchhead-Pace"

// Encode returns the text of the field.
func (r Report) Encode() string {
	return strings.Join([]string{
		string(r.Outcome), string(r.Reason), millis(r.RetryAfter),
		strconv.Itoa(r.Running), strconv.Itoa(r.Waiting), strconv.Itoa(r.Slots), millis(r.Execution),
		millis(r.Backlog), strconv.Itoa(r.LinkRate), strconv.Itoa(r.Speed), millis(r.Waited), millis(r.ColdFor),
		mark(r.Shared),
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
		Speed: int(reader.number()), Waited: reader.duration(), ColdFor: reader.duration(),
		Shared: reader.mark(),
	}
	switch report.Outcome {
	case Answered, Refused, Rejected, Unknown:
		return report, reader.err
	default:
		return report, eris.Errorf("%s: outcome %q is not known", Header, report.Outcome)
	}
}

// fieldReader reads numbers one after the other and keeps the first error.
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

func (r *fieldReader) mark() bool {
	text := r.fields[0]
	r.fields = r.fields[1:]
	if text != markYes && text != markNo && r.err == nil {
		r.err = eris.Errorf("%s: %q is neither %s nor %s", Header, text, markNo, markYes)
	}
	return text == markYes
}

// hundredths reads a probability, from 0 to Certain.
func (r *fieldReader) hundredths() int {
	value := r.number()
	if (value < 0 || value > Certain) && r.err == nil {
		r.err = eris.Errorf("%s: %d is not a probability in hundredths", Header, value)
	}
	return int(value)
}

func (r *fieldReader) duration() time.Duration { return time.Duration(r.number()) * time.Millisecond }

func millis(duration time.Duration) string {
	return strconv.FormatInt(max(duration, 0).Milliseconds(), 10)
}

// HeaderProgress is the name of the field with which a sender asks a node to report that a
// request goes on.
const HeaderProgress = "Winchhead-Progress"
