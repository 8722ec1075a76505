package distribution

import (
	"github.com/winchhead/winchhead/internal/membership"
	"github.com/winchhead/winchhead/internal/snapshot"
	"github.com/winchhead/winchhead/internal/source"
	"github.com/winchhead/winchhead/internal/wire"
)

// LinkID names one connection to a peer within a process. Engine numbers the
// links it dials with odd numbers, its caller those it takes with even ones.
type LinkID uint64

// RequestID names one request to the platform, so that the answer to one that
// was cancelled is recognised.
type RequestID uint64

// Event is something that happened to an Engine: one of the types below.
type Event interface{ apply(e *Engine) }

// Tick tells that the time given by Engine.NextWake has come.
type Tick struct{}

// Connected tells that a dialled connection is open.
type Connected struct{ Link LinkID }

// DialFailed tells that a connection could not be opened.
type DialFailed struct {
	Link LinkID
	// Refused is set when the machine answered that nothing listens there.
	Refused bool
}

// Accepted tells that a peer opened a connection and sent its Hello.
type Accepted struct {
	Link  LinkID
	Hello *wire.Hello
}

// LinkDown tells that a connection ended without the engine's doing.
type LinkDown struct {
	Link LinkID
	// Cause tells why.
	Cause DownCause
}

// DownCause tells why a connection ended.
type DownCause uint8

// The causes of LinkDown.
const (
	DownBroken DownCause = 1 // the connection ended
	DownFault  DownCause = 2 // the peer broke the protocol
	DownSlow   DownCause = 3 // the peer did not take what was sent to it
)

// Message tells that a message arrived.
type Message struct {
	Link    LinkID
	Message wire.Message
}

// SourceRevision answers AwaitSource.
type SourceRevision struct {
	Request RequestID
	Version snapshot.Version
	Outcome source.Outcome
}

// SourceDocument answers FetchSource.
type SourceDocument struct {
	Request  RequestID
	Document *snapshot.Document
	Outcome  source.Outcome
}

// MembersListed answers FetchMembers.
type MembersListed struct {
	Request RequestID
	Members []membership.ListedMember
	// Revision is that of source.MemberList.
	Revision uint64
	ETag     string
	Outcome  source.Outcome
}

// AdoptResult answers Adopt.
type AdoptResult struct {
	Version snapshot.Version
	// Err tells why the document was refused as a whole.
	Err error
}

// SelfState sets the state that the own instance publishes.
type SelfState struct{ State membership.State }

// Stop ends the own instance: it publishes StateGone and closes its links.
type Stop struct{}
