package distribution

import (
	"github.com/winchhead/winchhead/internal/membership"
	"github.com/winchhead/winchhead/internal/snapshot"
	"github.com/winchhead/winchhead/internal/source"
	"github.com/winchhead/winchhead/internal/wire"
)

// LinkID identifies a connection to a peer within a process. Engine assigns odd
// numbers to the links it dials, its caller even numbers to those it accepts.
type LinkID uint64

// RequestID identifies a request to the platform, so that a late answer to a
// cancelled request can be ignored.
type RequestID uint64

// Event is an input of an Engine. The types below implement it.
type Event interface{ apply(e *Engine) }

// Tick reports that the time returned by Engine.NextWake has come.
type Tick struct{}

// Connected reports that a dialled connection is open.
type Connected struct{ Link LinkID }

// DialFailed reports that a connection could not be opened.
type DialFailed struct {
	Link LinkID
	// Refused is set if the host refused the connection: nothing listens at the address.
	Refused bool
}

// Accepted reports that a peer opened a connection and sent its Hello.
type Accepted struct {
	Link  LinkID
	Hello *wire.Hello
}

// LinkDown reports that a connection ended without a CloseLink from the engine.
type LinkDown struct {
	Link  LinkID
	Cause DownCause
}

// DownCause is the reason for which a connection ended.
type DownCause uint8

// The causes of LinkDown.
const (
	DownBroken DownCause = 1 // the connection ended
	DownFault  DownCause = 2 // the peer violated the protocol
	DownSlow   DownCause = 3 // the send queue was full: the peer reads too slowly
)

// Message reports that a message was received.
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
	// Revision is source.MemberList.Revision.
	Revision uint64
	ETag     string
	// Sample says that Members are a part of the list.
	Sample  bool
	Outcome source.Outcome
}

// AdoptResult answers Adopt.
type AdoptResult struct {
	Version snapshot.Version
	// Err is the reason for which the document was refused; nil if it is in force.
	Err error
}

// SelfState sets the state that the local instance publishes.
type SelfState struct{ State membership.State }

// Stop shuts the engine down: it publishes StateGone and closes all links.
type Stop struct{}
