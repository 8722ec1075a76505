package instance

import (
	"fmt"
	"net"
	"time"
)

// span is a period of time.
type span struct{ start, end time.Time }

func (s span) contains(at time.Time) bool { return !at.Before(s.start) && at.Before(s.end) }

// TurnCold makes the instance cold for a duration from now on. Only its health answers tell.
func (i *Instance) TurnCold(duration time.Duration) {
	now := time.Now()
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.coldSpans = append(i.coldSpans, span{now, now.Add(duration)})
}

// MostWhileCold returns the most requests that began in any second of the times for which the instance was
// cold.
func (i *Instance) MostWhileCold() (most int) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	for _, cold := range i.coldSpans {
		var recent []time.Time
		for _, run := range i.runs {
			if !cold.contains(run.Began) {
				continue
			}
			recent = append(recent, run.Began)
			for run.Began.Sub(recent[0]) >= time.Second {
				recent = recent[1:]
			}
			most = max(most, len(recent))
		}
	}
	return most
}

// HealthChecks returns the number of health checks so far.
func (i *Instance) HealthChecks() int {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.healthChecks
}

// SilenceHealth sets whether health checks get no answer.
func (i *Instance) SilenceHealth(silent bool) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.silentHealth = silent
}

// answerHealth answers a health check and reports whether the connection stays open.
func (i *Instance) answerHealth(conn net.Conn) bool {
	now := time.Now()
	i.mutex.Lock()
	i.healthChecks++
	silent := i.silentHealth
	remaining := time.Duration(0)
	for _, cold := range i.coldSpans {
		if cold.contains(now) {
			remaining = max(remaining, cold.end.Sub(now))
		}
	}
	i.mutex.Unlock()
	if silent {
		return true
	}
	if i.RawHealth != "" {
		sendEndless(conn, i.RawHealth, i.EndlessHealth)
		return false
	}
	fields := HeaderInstance + ": " + i.Name + "\r\n"
	if remaining > 0 {
		fields += fmt.Sprintf("%s: %d\r\n", HeaderCold, max(remaining.Milliseconds(), 1))
	}
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sContent-Length: 0\r\n\r\n", fields)
	return err == nil
}
