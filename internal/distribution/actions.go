package distribution

import (
	"time"

	"github.com/winchhead/winchhead/internal/membership"
	"github.com/winchhead/winchhead/internal/snapshot"
	"github.com/winchhead/winchhead/internal/wire"
)

// Action is an effect that an Engine asks its caller to carry out. The types below
// implement it.
type Action interface{ isAction() }

// Send asks to send one encoded frame on each of the given links.
type Send struct {
	Links []LinkID
	Type  wire.Type
	Frame []byte
}

// Dial asks to open a connection. The caller answers with Connected, DialFailed or
// LinkDown.
type Dial struct {
	Link    LinkID
	Node    membership.NodeID
	Address string
}

// CloseLink asks to close a connection after its queued frames are written, or to
// cancel its dial. No LinkDown follows.
type CloseLink struct{ Link LinkID }

// AwaitSource polls the source for a revision above After, for at most Wait.
type AwaitSource struct {
	Request RequestID
	After   snapshot.Revision
	Wait    time.Duration
	// MinInterval is the minimum time between two reads that return a new revision.
	MinInterval time.Duration
}

// FetchSource fetches the whole document from the source.
type FetchSource struct {
	Request RequestID
	Held    snapshot.Version
}

// FetchMembers fetches the member list from the platform.
type FetchMembers struct {
	Request RequestID
	ETag    string
	Wait    time.Duration
	// Sample asks for a part of the list, enough to find peers, if the platform can give one.
	Sample bool
}

// CancelRequest cancels a request to the platform. An answer to it is optional and
// ignored.
type CancelRequest struct{ Request RequestID }

// Adopt asks to put a document in force. The caller answers with AdoptResult.
type Adopt struct{ Document *snapshot.Document }

// FleetChanged reports that the view of the fleet changed.
type FleetChanged struct{ View *membership.View }

// Log asks to write a log line.
type Log struct {
	Level LogLevel
	Text  string
}

// LogLevel is the severity of a Log.
type LogLevel uint8

// The levels of a Log.
const (
	LogDebug   LogLevel = 1
	LogInfo    LogLevel = 2
	LogWarning LogLevel = 3
)

func (Send) isAction()          {}
func (Dial) isAction()          {}
func (CloseLink) isAction()     {}
func (AwaitSource) isAction()   {}
func (FetchSource) isAction()   {}
func (FetchMembers) isAction()  {}
func (CancelRequest) isAction() {}
func (Adopt) isAction()         {}
func (FleetChanged) isAction()  {}
func (Log) isAction()           {}
