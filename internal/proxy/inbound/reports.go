package inbound

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/winchhead/winchhead/internal/proxy/forward"
	"github.com/winchhead/winchhead/internal/proxy/report"
)

const (
	// defaultHealthInterval applies when the settings have none.
	defaultHealthInterval = time.Second
	// reportTimeout bounds one read of a report.
	reportTimeout = time.Second
	// maxReportBytes bounds the body of a report.
	maxReportBytes = 64 << 10
)

// errNoReport marks a failure to read a report after the request for it was sent.
var errNoReport = eris.New("the backend sent no report in response to the request")

func (p *Proxy) reportsHealth() bool { return p.settings.HealthPath != "" }

// Run reads the backend's reports and watches for pauses of this process until ctx
// ends. Without it the instance never becomes ready.
func (p *Proxy) Run(ctx context.Context) {
	watched := make(chan struct{})
	p.pauses.start(time.Now())
	go func() {
		defer close(watched)
		p.watchPauses(ctx)
	}()
	p.readReports(ctx)
	<-watched
	p.pauses.stop()
}

func (p *Proxy) watchPauses(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if gap := p.pauses.tick(time.Now()); gap > 0 {
				p.logger.WithField("seconds", gap.Seconds()).Warn("process was paused")
			}
		}
	}
}

func (p *Proxy) readReports(ctx context.Context) {
	interval := p.settings.HealthInterval
	if interval <= 0 {
		interval = defaultHealthInterval
	}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		p.readHealth(ctx)
		p.readLoad(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// readHealth reads the health endpoint, or opens a connection if there is none.
func (p *Proxy) readHealth(ctx context.Context) {
	if !p.reportsHealth() {
		p.probe(ctx)
		return
	}
	response, body, err := p.readReport(ctx, p.settings.HealthPath)
	switch {
	case ctx.Err() != nil:
		return
	case err != nil:
		p.observeReportFailure(err)
		return
	}
	p.readiness.observe(func(r *readiness, now time.Time) { r.observeReport(statusOf(response, body), now) })
}

// statusOf returns the status of a health report. The status code decides if the body
// has none, and a bad code outweighs a good body.
func statusOf(response *http.Response, body []byte) report.Status {
	if response.Header.Get(report.HeaderDraining) == report.HeaderValue {
		return report.StatusDraining
	}
	var health report.Health
	if err := json.Unmarshal(body, &health); err != nil {
		health.Status = ""
	}
	healthy := response.StatusCode == http.StatusOK
	switch {
	case health.Status == report.StatusDraining:
		return report.StatusDraining
	case !healthy && health.Status == report.StatusStarting:
		return report.StatusStarting
	case !healthy:
		return report.StatusFailing
	case health.Status == "":
		return report.StatusReady
	default:
		return health.Status
	}
}

// probe opens and closes a connection to the backend.
func (p *Proxy) probe(ctx context.Context) {
	conn, err := p.backend.dial(ctx, "tcp", "")
	if ctx.Err() == nil && err != nil {
		p.observeReportFailure(err)
	}
	if err != nil {
		return
	}
	_ = conn.Close()
	p.readiness.observe(func(r *readiness, now time.Time) { r.observeConnection(now) })
}

func (p *Proxy) observeReportFailure(err error) {
	p.readiness.observe(func(r *readiness, now time.Time) {
		switch {
		case errors.Is(err, syscall.ECONNREFUSED):
			r.observeRefusal()
		case errors.Is(err, errNoReport):
			r.observeConnection(now)
			r.observeMissingReport(now)
		default:
			r.observeMissingReport(now)
		}
	})
}

// readLoad exports the backend's load report as a metric for operators. It affects no
// decision: it may be late or wrong, and the proxy has its own count.
func (p *Proxy) readLoad(ctx context.Context) {
	if p.settings.LoadPath == "" {
		return
	}
	response, body, err := p.readReport(ctx, p.settings.LoadPath)
	if err != nil || response.StatusCode != http.StatusOK {
		return
	}
	var load report.Load
	if err := json.Unmarshal(body, &load); err != nil {
		return
	}
	p.metrics.reportedLoad.Set(load.Ratio())
}

// readReport reads one report over a connection that is reserved for reports.
func (p *Proxy) readReport(ctx context.Context, path string) (*http.Response, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	deadline, _ := ctx.Deadline()
	send := forward.NewSendAttempt(deadline, nil)
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		info.Conn.(*forward.Conn).Assign(send)
	}}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace),
		http.MethodGet, "http://"+p.settings.Backend+path, nil)
	if err != nil {
		return nil, nil, eris.Wrap(err, "report")
	}
	response, err := p.backend.transport.RoundTrip(request)
	if err != nil {
		if send.Seal() {
			err = errors.Join(errNoReport, err)
		}
		return nil, nil, eris.Wrap(err, "report")
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReportBytes))
	return response, body, eris.Wrap(err, "report")
}

// observeResponseHeader applies what a response header tells about the backend, and
// removes those headers.
func (p *Proxy) observeResponseHeader(header http.Header) {
	draining := header.Get(report.HeaderDraining) == report.HeaderValue
	header.Del(report.HeaderDraining)
	header.Del(report.HeaderShed)
	p.readiness.observe(func(r *readiness, now time.Time) { r.observeResponse(draining, now) })
}

// observeConnectFailure applies that a request could not be sent.
func (p *Proxy) observeConnectFailure(err error) {
	if errors.Is(err, syscall.ECONNREFUSED) {
		p.readiness.observe(func(r *readiness, _ time.Time) { r.observeRefusal() })
	}
}
