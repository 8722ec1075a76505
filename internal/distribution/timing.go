package distribution

import "time"

// Timing holds the intervals and timeouts of an Engine and a Node.
type Timing struct {
	// HeartbeatInterval is the longest time without a frame on an ordinary link.
	HeartbeatInterval time.Duration
	// CoordinationHeartbeatInterval is the same for a coordination link: one between nodes of a zone's
	// reader group, or between readers that may lead.
	CoordinationHeartbeatInterval time.Duration
	// DigestInterval is the mean time between two digests on a link.
	DigestInterval time.Duration
	// RecordWindow is how long records are batched before they are sent.
	RecordWindow time.Duration
	// ViewWindow is how long changes of the fleet are batched before they are reported to
	// the Adopter.
	ViewWindow time.Duration
	// ViewInterval is the least time between two such reports, except for a change that ends
	// work on an instance.
	ViewInterval time.Duration
	// AnnounceDelay is how long an announcement is delayed on links that the peer dialled.
	AnnounceDelay time.Duration
	// PullTimeout is how long a peer may take to answer a Pull before another peer is asked.
	// It doubles with each attempt for the same version.
	PullTimeout time.Duration
	// DialTimeout bounds dialling and the exchange of Hello messages.
	DialTimeout time.Duration
	// AnswerTime is how long a peer may take to answer a dial before another peer is dialled
	// as well.
	AnswerTime time.Duration
	// StartPeerWait is how long a node that holds nothing waits for peers to answer before it
	// trusts the source.
	StartPeerWait time.Duration
	// StartListWait is how long a node that gets no membership list, from the platform or a
	// peer, waits before it reads the source without one.
	StartListWait time.Duration
	// ReadAloneWait and ReadAloneSpread set when a node that holds nothing reads a source that is always
	// current although others should: ReadAloneWait after its start, and up to ReadAloneSpread later.
	ReadAloneWait, ReadAloneSpread time.Duration
	// FirstListSpread is the time over which the nodes of a fleet that starts together spread their first
	// reads of the member list. Nodes that the first ones have contacted by then read nothing.
	FirstListSpread time.Duration
	// MinStartWait is the minimum time that a node without a version waits before it accepts the
	// source's version, even if its peers have none either. In a fleet that starts together the
	// list grows in that time, so that few nodes become readers.
	MinStartWait time.Duration
	// StartSettle is how long after its start a node that holds a version leaves reading to
	// others. In a fleet that starts together each list names few nodes, so that each node
	// would act as a reader until it learns of the others over its links.
	StartSettle time.Duration
	// RecheckWait is how long a node whose process was suspended waits for its peers to answer
	// before it reads the source again.
	RecheckWait time.Duration
	// SourceWait is how long the source may hold a poll for a new revision. It bounds how long
	// it takes to notice that a reader is cut off from the source.
	SourceWait time.Duration
	// SourceGrace is how much later than SourceWait an answer may begin, and how long it may
	// stall after that.
	SourceGrace time.Duration
	// TakeOverDelay is how long a node waits before it takes over from a reader whose process
	// is gone. A reader that fell silent or cannot read is replaced at once.
	TakeOverDelay time.Duration
	// FetchTimeout is how long the answer to a read of the document or the list may take to
	// begin.
	FetchTimeout time.Duration
	// FreshnessLimit is the age of a reader's last answer from the source above which the next
	// node in rank reads as well.
	FreshnessLimit time.Duration
	// ReportInterval is the least time between two confirmations by the source on one link.
	ReportInterval time.Duration
	// ConfirmationLimit is the age of the newest confirmation at which a node begins to read the source
	// itself, up to StandInSpread later.
	ConfirmationLimit, StandInSpread time.Duration
	// StandInHold is how long other readers must have confirmed the version before a node that stands in
	// leaves reading to them.
	StandInHold time.Duration
	// StandInPace is the mean time between two tries of all nodes that would stand in while the source
	// fails. FailureMemory is how long a reader's failed read counts, longer than it waits before the next.
	StandInPace, FailureMemory time.Duration
	// FetchDelay and FetchStagger set how long a reader waits for peers to deliver a new
	// revision before it fetches it: FetchDelay plus its rank times FetchStagger, up to
	// FetchDelayMax. The first in rank fetches at once.
	FetchDelay, FetchStagger, FetchDelayMax time.Duration
	// FollowerPollInterval is the least time between a poll that brings a new revision and the
	// next one, for a reader that does not lead: the leader brings the next revision.
	FollowerPollInterval time.Duration
	// LeaderPollInterval is the same for the leader. The first change after a quiet time is
	// read at once; changes that follow within the interval are read together.
	LeaderPollInterval time.Duration
	// MembersWait is how long the platform may hold a poll for a new list.
	MembersWait time.Duration
	// BackoffMin and BackoffMax bound the mean delay before the source or the list is read
	// again after a failure.
	BackoffMin, BackoffMax time.Duration
	// RetryAfterMax bounds how long a reader waits on the source's request (Retry-After). There
	// are few readers, and while none polls no node learns that the source has recovered.
	RetryAfterMax time.Duration
	// RedialMin and RedialMax bound the mean delay before a peer is dialled again.
	RedialMin, RedialMax time.Duration
	// RefusedWait is how long a peer that refused a link because it has enough is not dialled.
	RefusedWait time.Duration
	// FaultWait is how long a peer that broke the protocol is not dialled.
	FaultWait time.Duration
	// SuspectedRetry is the least time between two dials of suspected members.
	SuspectedRetry time.Duration
	// LateThreshold is how late a wake-up of the engine may be before the process counts as
	// short of CPU time; for LatePeriod after that it suspects no member.
	LateThreshold, LatePeriod time.Duration
	// PauseThreshold is how late a wake-up may be before the process counts as having been
	// suspended.
	PauseThreshold time.Duration
	// ExpireInterval is the time between two checks for expired records.
	ExpireInterval time.Duration
	// UnneededLinkAge is the age up to which a link beyond those wanted is kept.
	UnneededLinkAge time.Duration
}

// DefaultTiming returns the default intervals.
func DefaultTiming() Timing {
	return Timing{
		HeartbeatInterval:             5 * time.Second,
		CoordinationHeartbeatInterval: 900 * time.Millisecond,
		DigestInterval:                10 * time.Second,
		RecordWindow:                  50 * time.Millisecond,
		ViewWindow:                    50 * time.Millisecond,
		ViewInterval:                  300 * time.Millisecond,
		AnnounceDelay:                 30 * time.Millisecond,
		PullTimeout:                   400 * time.Millisecond,
		DialTimeout:                   6 * time.Second,
		AnswerTime:                    time.Second,
		StartPeerWait:                 2 * time.Second,
		StartListWait:                 20 * time.Second,
		MinStartWait:                  time.Second,
		RecheckWait:                   2 * time.Second,
		SourceWait:                    2 * time.Second,
		SourceGrace:                   500 * time.Millisecond,
		TakeOverDelay:                 700 * time.Millisecond,
		FetchTimeout:                  10 * time.Second,
		FreshnessLimit:                5 * time.Second,
		ReportInterval:                3 * time.Second,
		ConfirmationLimit:             7 * time.Second,
		StandInSpread:                 2 * time.Second,
		StandInHold:                   5 * time.Second,
		StandInPace:                   500 * time.Millisecond,
		FailureMemory:                 25 * time.Second,
		FetchDelay:                    150 * time.Millisecond,
		FetchStagger:                  40 * time.Millisecond,
		FetchDelayMax:                 1500 * time.Millisecond,
		FollowerPollInterval:          minPollInterval,
		LeaderPollInterval:            minPollInterval,
		MembersWait:                   20 * time.Second,
		BackoffMin:                    200 * time.Millisecond,
		BackoffMax:                    10 * time.Second,
		RetryAfterMax:                 time.Minute,
		RedialMin:                     200 * time.Millisecond,
		RedialMax:                     5 * time.Second,
		RefusedWait:                   30 * time.Second,
		FaultWait:                     30 * time.Second,
		SuspectedRetry:                3 * time.Second,
		LateThreshold:                 300 * time.Millisecond,
		LatePeriod:                    5 * time.Second,
		PauseThreshold:                3 * time.Second,
		ExpireInterval:                5 * time.Second,
		UnneededLinkAge:               10 * time.Second,
	}
}

// ForCurrentSource returns the intervals for a source that always serves the newest revision,
// and whose documents a reader has already received when it learns of the revision. No node
// waits for others before it adopts a document.
func (t Timing) ForCurrentSource() Timing {
	t.StartListWait = time.Second
	t.StartPeerWait = 500 * time.Millisecond
	t.RecheckWait = 500 * time.Millisecond
	// Three seconds are enough for a large fleet to get its first document from the readers; with the
	// spread, a hundredth of the nodes that are left reads in a tenth of a second.
	t.FirstListSpread = 700 * time.Millisecond
	t.ReadAloneWait, t.ReadAloneSpread = 3*time.Second, 10*time.Second
	// Detecting a reader that gets no answers, and then a successor that gets none either, takes
	// one wait and two graces, 1.4 s, so that a change is in force within 1.5 s. A shorter wait
	// costs more polls: an idle reader sends one for each wait.
	t.SourceWait = 600 * time.Millisecond
	t.SourceGrace = 400 * time.Millisecond
	// A reader gets an answer after each wait, and its group learns of it with the next
	// heartbeat, after 1.5 s at most. Above this limit, the next node reads in addition to a
	// reader whose answers arrive slowly.
	t.FreshnessLimit = 2500 * time.Millisecond
	// A reader confirms the version once in each SourceWait, and a link passes on the first confirmation
	// after ReportInterval, so that confirmations are 0.6 s apart on each link, and at most 1.1 s when
	// a reader fails.
	t.ReportInterval = 500 * time.Millisecond
	t.ConfirmationLimit, t.StandInSpread = 1200*time.Millisecond, 200*time.Millisecond
	t.StandInHold, t.StandInPace, t.FailureMemory = 2*time.Second, 100*time.Millisecond, 2*time.Second
	t.FetchDelay, t.FetchStagger, t.FetchDelayMax = 0, 0, 0
	t.FetchTimeout = 3 * time.Second
	// The leader brings the revisions that follow within this time.
	t.FollowerPollInterval = 1200 * time.Millisecond
	t.LeaderPollInterval = 250 * time.Millisecond
	// Half of the shortest time for which the platform expects nothing of a node after its start
	// (contactMs of 3 s). Links are up and lists passed on after about one second.
	t.StartSettle = 1500 * time.Millisecond
	t.BackoffMin, t.BackoffMax = 100*time.Millisecond, 400*time.Millisecond
	// A rejected reader then makes one call a second, fewer than one that is served.
	t.RetryAfterMax = time.Second
	t.RedialMax = time.Second
	t.DialTimeout = 2 * time.Second
	t.HeartbeatInterval = 2 * time.Second
	return t
}
