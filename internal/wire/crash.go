package wire

import "github.com/winchhead/winchhead/internal/suspects"

// Crashes carries records of instance crashes that are new to the receiver or have changed.
type Crashes struct{ Crashes []Crash }

// Crash is a suspects.Crash with an age instead of a time, as the clocks of nodes differ.
type Crash struct {
	ID       suspects.CrashID
	Instance string
	// Age is the time since the crash in milliseconds.
	Age      int64
	Requests []suspects.Request
}

// Type returns TypeCrashes.
func (*Crashes) Type() Type { return TypeCrashes }

func (e encoder) crash(crash Crash) {
	e.fixed64(uint64(crash.ID))
	e.text(crash.Instance)
	e.long(crash.Age)
	encodeArray(e, crash.Requests, e.crashRequest)
}

func (e encoder) crashRequest(request suspects.Request) {
	e.fixed(request.Fingerprint[:])
	e.boolean(request.Probed)
	e.boolean(request.Cleared)
}

func (d decoder) crash() Crash {
	return Crash{
		ID:       suspects.CrashID(d.fixed64()),
		Instance: d.text(),
		Age:      d.long(),
		Requests: decodeArray(d, crashRequestBytes, d.crashRequest),
	}
}

func (d decoder) crashRequest() suspects.Request {
	var request suspects.Request
	d.Read(request.Fingerprint[:])
	request.Probed = d.boolean()
	request.Cleared = d.boolean()
	return request
}
