package platform

import (
	"net"
	"net/http"
	"time"

	"github.com/winchhead/winchhead/internal/snapshot"
	"github.com/winchhead/winchhead/internal/socketbytes"
)

// FaultKind is a way in which the platform fails.
type FaultKind uint8

// The kinds of fault.
const (
	FaultNone        FaultKind = iota
	FaultUnavailable           // answers 503 with Retry-After, including held reads
	FaultReset                 // resets the connection, including those of held reads
	FaultStall                 // does not answer while the fault is set
	FaultStale                 // serves an older revision
	FaultConflict              // serves other content under the current revision
	FaultGarbage               // answers with bytes that are not JSON
	FaultTruncated             // closes the connection after half of the body
	FaultSlow                  // sends the body in small chunks with pauses
)

// Fault is a failure with its parameters. The zero value is no failure.
type Fault struct {
	Kind FaultKind
	// Revision is the revision that FaultStale serves; zero stands for the latest
	// one at the time the fault is set.
	Revision snapshot.Revision
	// Pause is the time between two chunks of FaultSlow.
	Pause time.Duration
}

// affectsBody reports whether the fault changes how bodies are sent. With such a
// fault the platform sends a body even where it would otherwise answer 304.
func (f Fault) affectsBody() bool {
	return f.Kind == FaultGarbage || f.Kind == FaultTruncated || f.Kind == FaultSlow
}

// Service is one of the platform's two read services.
type Service uint8

// The services of the platform.
const (
	ServiceConfiguration Service = 1
	ServiceMembers       Service = 2
)

// Scope selects the requests that a fault affects.
type Scope struct {
	// Service limits the fault to one service; zero means both.
	Service Service
	// Client limits the fault to the client with this name in the
	// Winchhead-Node header; empty means all clients.
	Client string
}

// faultTable holds the fault of each scope.
type faultTable map[Scope]Fault

// lookup returns the fault for a client of a service. The narrowest scope takes
// precedence; a scope with a client is narrower than one with a service.
func (t faultTable) lookup(service Service, client string) Fault {
	scopes := []Scope{{service, client}, {0, client}, {service, ""}, {0, ""}}
	for _, scope := range scopes {
		if fault, ok := t[scope]; ok {
			return fault
		}
	}
	return Fault{}
}

// SetFault sets the fault of a scope. It takes effect at once, also on held reads. The
// zero Fault exempts a narrow scope from the fault of a wider one.
func (p *Platform) SetFault(scope Scope, fault Fault) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if fault.Kind == FaultStale && fault.Revision == 0 {
		fault.Revision = p.latest().version.Revision
	}
	p.faults[scope] = fault
	p.broadcast()
}

// ClearFaults removes all faults.
func (p *Platform) ClearFaults() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.faults = faultTable{}
	p.broadcast()
}

// conflictService is the name of the service that FaultConflict adds to the content.
const conflictService = "conflicting"

// conflictingPublication returns a publication with the same revision and other
// content.
func conflictingPublication(published *publication) (*publication, error) {
	content := published.content
	services := append([]snapshot.Service{}, content.Services...)
	upsert(&services, serviceName, snapshot.Service{Name: conflictService})
	content.Services = services
	return newPublication(content)
}

// reset closes the connection, with a TCP reset where possible.
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
