package platform

import (
	"net"
	"net/http"
	"time"

	"github.com/winchhead/winchhead/internal/snapshot"
	"github.com/winchhead/winchhead/internal/socketbytes"
)

// FaultKind tells how the platform fails.
type FaultKind uint8

// The kinds of fault.
const (
	FaultNone        FaultKind = iota
	FaultUnavailable           // answers 503 with Retry-After, also to waiting reads
	FaultReset                 // resets the connection, also of waiting reads
	FaultStall                 // never answers while the fault stands
	FaultStale                 // serves an old revision
	FaultConflict              // serves other content under the current revision
	FaultGarbage               // answers with bytes that are no JSON
	FaultTruncated             // closes the connection after half of the body
	FaultSlow                  // sends the body one piece at a time
)

// Fault is one way of failing. The zero value mends.
type Fault struct {
	Kind FaultKind
	// Revision is what FaultStale serves; zero freezes the revision held when the
	// fault is set.
	Revision snapshot.Revision
	// Pause is the time between two pieces of FaultSlow.
	Pause time.Duration
}

// spoilsBody reports whether the fault concerns bodies. Such a platform answers
// with a body also where it would answer 304.
func (f Fault) spoilsBody() bool {
	return f.Kind == FaultGarbage || f.Kind == FaultTruncated || f.Kind == FaultSlow
}

// Service is one of the platform's two read services.
type Service uint8

// The services of the platform.
const (
	ServiceConfiguration Service = 1
	ServiceMembers       Service = 2
)

// Scope tells whom a fault meets.
type Scope struct {
	// Service limits the fault to one service; zero means both.
	Service Service
	// Client limits the fault to the client with that name in the
	// Winchhead-Node header; empty means all.
	Client string
}

// faultTable holds the fault of each scope.
type faultTable map[Scope]Fault

// of returns the fault for one client of one service; the narrowest scope wins.
func (t faultTable) of(service Service, client string) Fault {
	scopes := []Scope{{service, client}, {0, client}, {service, ""}, {0, ""}}
	for _, scope := range scopes {
		if fault, ok := t[scope]; ok {
			return fault
		}
	}
	return Fault{}
}

// Fail sets the fault of a scope, at once and for waiting reads too. The zero
// Fault of a narrow scope exempts it from the fault of a wider one.
func (p *Platform) Fail(scope Scope, fault Fault) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if fault.Kind == FaultStale && fault.Revision == 0 {
		fault.Revision = p.latest().version.Revision
	}
	p.faults[scope] = fault
	p.broadcast()
}

// Mend removes all faults.
func (p *Platform) Mend() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.faults = faultTable{}
	p.broadcast()
}

// conflictService is what FaultConflict adds to the content.
const conflictService = "conflicting"

// conflicting returns other content under the same revision.
func conflicting(published *publication) (*publication, error) {
	content := published.content
	services := append([]snapshot.Service{}, content.Services...)
	put(&services, serviceName, snapshot.Service{Name: conflictService})
	content.Services = services
	return newPublication(content)
}

// reset drops the connection with a TCP reset where it can.
func reset(w http.ResponseWriter) {
	connection, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler) // net/http closes the connection without an answer
	}
	if counted, ok := connection.(*socketbytes.Conn); ok {
		connection = counted.Conn
	}
	if tcp, ok := connection.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = connection.Close()
}
