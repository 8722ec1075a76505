package instanceload_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/winchhead/winchhead/internal/dataplane/instanceload"
)

// BenchmarkAnswer measures what the load of one answer costs beside other requests in progress.
func BenchmarkAnswer(b *testing.B) {
	const othersInProgress = 8
	var runs instanceload.Runs
	var record instanceload.Record
	now, header := time.Unix(1000, 0), http.Header{"Test-Load": {"9,1,9,100"}}
	for range othersInProgress {
		runs.Begin(now)
	}
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		run := runs.Begin(now)
		load, _, _ := instanceload.Decode(names, header)
		runs.Answered(run, now)
		runs.Observe(run, load, true, now)
		runs.End(run, now)
		record.Observe(load, now, now)
	}
}
