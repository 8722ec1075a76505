package platform

import (
	"sync/atomic"
	"time"
)

// counts holds the counters of Statistics.
type counts struct {
	configuration, members, refused, failed, waiting atomic.Int64
}

// Statistics holds the counts of the platform since New.
type Statistics struct {
	// ConfigurationRequests and MemberRequests count all requests that began.
	ConfigurationRequests int64 `json:"configuration_requests"`
	MemberRequests        int64 `json:"member_requests"`
	// Refused counts the requests that were answered 429.
	Refused int64 `json:"refused"`
	// Failed counts the requests that FaultUnavailable and FaultReset ended.
	Failed int64 `json:"failed"`
	// Waiting is the current number of reads in progress.
	Waiting int64 `json:"waiting"`
	// BytesRead and BytesSent count the bytes on the connections of Serve.
	BytesRead int64 `json:"bytes_read"`
	BytesSent int64 `json:"bytes_sent"`
	// Readers is the number of distinct clients admitted to the configuration within
	// the reader window, ReadersMax its highest value. The limit bounds both, so use
	// Asking to see the load.
	Readers    int `json:"readers"`
	ReadersMax int `json:"readers_max"`
	// Asking is the number of distinct clients that asked for the configuration
	// within the reader window, including refused ones, AskingMax its highest value.
	Asking    int `json:"asking"`
	AskingMax int `json:"asking_max"`
}

// Statistics returns the current counts.
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
