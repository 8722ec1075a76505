package platform

import (
	"sync/atomic"
	"time"
)

// counts are the running totals behind Statistics.
type counts struct {
	configuration, members, refused, failed, waiting atomic.Int64
}

// Statistics tells what the platform has served since New.
type Statistics struct {
	// ConfigurationRequests and MemberRequests count all requests begun.
	ConfigurationRequests int64 `json:"configuration_requests"`
	MemberRequests        int64 `json:"member_requests"`
	// Refused counts the answers 429.
	Refused int64 `json:"refused"`
	// Failed counts the requests that FaultUnavailable and FaultReset ended.
	Failed int64 `json:"failed"`
	// Waiting is the number of reads in progress now.
	Waiting int64 `json:"waiting"`
	// BytesRead and BytesSent count the sockets of Serve.
	BytesRead int64 `json:"bytes_read"`
	BytesSent int64 `json:"bytes_sent"`
	// Readers are the distinct clients admitted to the configuration, now and at
	// most at one time. The limit holds them down, so ask Asking for the load.
	Readers    int `json:"readers"`
	ReadersMax int `json:"readers_max"`
	// Asking are the distinct clients that asked for the configuration, refused
	// ones included, within one reader window.
	Asking    int `json:"asking"`
	AskingMax int `json:"asking_max"`
}

// Statistics returns the totals so far.
func (p *Platform) Statistics() Statistics {
	statistics := Statistics{
		ConfigurationRequests: p.counts.configuration.Load(),
		MemberRequests:        p.counts.members.Load(),
		Refused:               p.counts.refused.Load(),
		Failed:                p.counts.failed.Load(),
		Waiting:               p.counts.waiting.Load(),
	}
	statistics.BytesRead, statistics.BytesSent = p.bytes.Totals()
	statistics.Readers, statistics.ReadersMax, statistics.Asking, statistics.AskingMax = p.readers.count(time.Now())
	return statistics
}
