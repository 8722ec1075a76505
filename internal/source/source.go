// Package source reads the platform: the configuration service, which is
// read-only, and the membership list, which lags. It contains the HTTP client, its
// limits and the interpretation of each answer. It decides neither which node reads
// (package distribution) nor which configuration is applied (package snapshot).
//
// Published protocol of the platform (JSON over HTTP):
//
//	GET /v1/configuration/head?after=R&wait=20s
//	    -> 200 {"revision":N,"hash":"..."} at once if N > R, otherwise after the wait
//	GET /v1/configuration  (If-None-Match: "<revision>-<hash>")
//	    -> 200 snapshot.Content with ETag, or 304
//	GET /v1/members  (If-None-Match)
//	    -> 200 {"revision":N,"members":[membership.ListedMember...]} with ETag, or 304;
//	    revision counts the changes of the list and may be left out
//	    ?wait=20s holds the answer until the list changes
//	429 and 503 carry Retry-After in seconds or as an HTTP date.
//	Durations have the format of Go. A reader sends its node name in Winchhead-Node.
package source

import (
	"context"
	"time"

	"github.com/winchhead/winchhead/internal/membership"
	"github.com/winchhead/winchhead/internal/snapshot"
)

// Status classifies the outcome of one read.
type Status uint8

// The outcomes of a read.
const (
	StatusFresh       Status = 1 // the answer carries new data
	StatusNotModified Status = 2 // the platform holds nothing newer
	StatusBusy        Status = 3 // 429 or 503: retry after RetryAfter
	StatusUnreachable Status = 4 // no connection, a timeout, a truncated answer or a server error
	StatusInvalid     Status = 5 // the answer violates the protocol or its limits
	StatusGone        Status = 6 // the requested history is no longer kept
	StatusBacklog     Status = 7 // the answer is larger than the reader's limit
)

// Outcome describes how a read ended.
type Outcome struct {
	Status Status
	// RetryAfter is the minimum time to wait before the next read; zero if the
	// platform gave none.
	RetryAfter time.Duration
	// Err explains StatusUnreachable and StatusInvalid, without secret values.
	Err error
	// BytesRead and BytesSent count the HTTP exchange.
	BytesRead, BytesSent int64
}

// ConfigurationReader reads the configuration service.
type ConfigurationReader interface {
	// AwaitRevision returns once the platform has a revision above after, the wait
	// is over or the context ends.
	AwaitRevision(ctx context.Context, after snapshot.Revision, wait time.Duration) (snapshot.Version, Outcome)
	// Fetch reads the whole current document, unless its version is the held one.
	Fetch(ctx context.Context, held snapshot.Version) (*snapshot.Document, Outcome)
}

// MemberReader reads the membership list.
type MemberReader interface {
	// Members reads the list; etag is that of the last answer, or empty. On any status but
	// StatusFresh the result has no members and the given etag.
	Members(ctx context.Context, etag string, wait time.Duration) (MemberList, Outcome)
}

// MemberSampler is a MemberReader whose platform can give a part of the list at low cost.
type MemberSampler interface {
	// SampleMembers reads some members, which may be seconds old. Further calls return other ones.
	SampleMembers(ctx context.Context) (MemberList, Outcome)
}

// MemberList is the platform's membership list, or a sample of it.
type MemberList struct {
	Members []membership.ListedMember
	// Revision counts the changes of the list at the platform: of two answers the one with
	// the higher revision is newer. It is zero if the platform does not count them and, on
	// StatusNotModified, where the revision of the last answer still applies.
	Revision uint64
	ETag     string
}
