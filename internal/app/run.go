package app

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/winchhead/winchhead/internal/convergence"
	"github.com/winchhead/winchhead/internal/wait"
)

// errPlannedStop makes the group of tasks end after a graceful shutdown.
var errPlannedStop = errors.New("planned stop")

// Run runs the node until ctx ends or a part fails. When ctx ends, the node shuts
// down gracefully: it announces that it leaves, finishes the requests in progress and
// leaves the fleet, and Run returns nil. When a part fails, Run ends the others at once
// and returns a *PartError.
func (a *App) Run(ctx context.Context) error {
	defer a.closeAll()
	a.logStart()
	group, running := errgroup.WithContext(context.WithoutCancel(ctx))
	for _, task := range a.tasks() {
		group.Go(func() error {
			if err := task.run(running); err != nil {
				return &PartError{Part: task.name, Err: err}
			}
			return nil
		})
	}
	group.Go(func() error {
		select {
		case <-running.Done():
			return nil
		case <-ctx.Done():
			a.drain(running)
			return errPlannedStop
		}
	})
	err := group.Wait()
	if errors.Is(err, errPlannedStop) {
		a.logger.Info("stopped")
		return nil
	}
	return err
}

// task is the work of one part, which ends with its context.
type task struct {
	name string
	run  func(ctx context.Context) error
}

func (a *App) tasks() []task {
	tasks := []task{
		{"configuration", a.parts.Applier.Run},
		{"readiness", a.awaitReadiness},
		{"distribution", a.parts.Node.Run},
		{"keys", a.reloadKeys},
		{"traffic", a.logTraffic},
		{"admin", func(ctx context.Context) error {
			return serve(ctx, a.parts.Admin.HTTPServer(), a.listeners.admin)
		}},
	}
	if a.listeners.metrics != nil {
		tasks = append(tasks, task{"metrics", func(ctx context.Context) error {
			return serve(ctx, a.parts.Admin.MetricsServer(), a.listeners.metrics)
		}})
	}
	if a.parts.Outbound != nil {
		tasks = append(tasks, task{"outbound", func(ctx context.Context) error {
			return serve(ctx, a.parts.Outbound.Server(), a.listeners.outbound)
		}})
	}
	if a.parts.Dataplane != nil {
		tasks = append(tasks, task{"data plane", func(ctx context.Context) error {
			return a.parts.Dataplane.Run(ctx, a.listeners.outbound, a.listeners.inbound)
		}})
	}
	if a.parts.Inbound != nil {
		tasks = append(tasks, task{"back end reports", a.watchBackEnd})
		tasks = append(tasks, task{"inbound", func(ctx context.Context) error {
			return serve(ctx, a.inboundServer, withTLS(a.listeners.inbound, a.parts.Keys.ServerConfig()))
		}})
	}
	return tasks
}

// awaitReadiness waits for the first configuration, and at an edge also for the first
// backend that accepts work, and then marks the node as configured.
func (a *App) awaitReadiness(ctx context.Context) error {
	changes, cancel := a.parts.Applier.Subscribe()
	defer cancel()
	for a.parts.Applier.Current() == nil {
		select {
		case <-ctx.Done():
			return nil
		case <-changes:
		}
	}
	if a.edge {
		select {
		case <-ctx.Done():
			return nil
		case <-a.parts.BackEnds.available:
		}
	}
	a.ready.markConfigured()
	return nil
}

func (a *App) watchBackEnd(ctx context.Context) error {
	a.parts.Inbound.Run(ctx)
	return nil
}

func (a *App) reloadKeys(ctx context.Context) error {
	a.parts.Keys.Run(ctx, a.logger)
	return nil
}

// trafficLogInterval is the time between two log lines about distribution traffic.
const trafficLogInterval = 10 * time.Second

// logTraffic logs the bytes that distribution has transferred so far, which the command
// winchhead convergence reads.
func (a *App) logTraffic(ctx context.Context) error {
	for wait.For(ctx, trafficLogInterval) == nil {
		stats := a.Stats()
		a.logger.WithFields(logrus.Fields{
			convergence.FieldLinkBytes:   stats.LinkBytes(),
			convergence.FieldSourceBytes: stats.SourceBytes + stats.ListBytes,
		}).Info(convergence.MessageTraffic)
	}
	return nil
}

// drain starts the graceful shutdown and returns once no request is in progress or the grace
// period has ended.
func (a *App) drain(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, a.grace)
	defer cancel()
	a.logger.WithField("grace", a.grace.String()).Info("leaving: no new work")
	a.ready.stop()
	if a.parts.Dataplane != nil {
		a.logDrainError("data plane", a.parts.Dataplane.Drain(ctx))
	}
	if a.parts.Inbound != nil {
		a.logDrainError("inbound", a.parts.Inbound.Drain(ctx))
	}
	if a.parts.Outbound != nil {
		a.logDrainError("outbound", a.parts.Outbound.Drain(ctx))
	}
	if a.inboundServer != nil {
		a.logDrainError("inbound", a.inboundServer.Shutdown(ctx))
	}
}

func (a *App) logDrainError(proxy string, err error) {
	if err != nil {
		a.logger.WithError(err).Warnf("the grace period is over, cutting the requests in progress at the %s proxy", proxy)
	}
}

// closeAll closes all parts. It ignores their errors, since they cannot be acted upon
// here.
func (a *App) closeAll() {
	if a.parts.Inbound != nil {
		a.parts.Inbound.Close()
	}
	if a.parts.Claims != nil {
		a.parts.Claims.Close()
	}
	if a.parts.Outbound != nil {
		_ = a.parts.Outbound.Close()
	}
	if a.parts.Dataplane != nil {
		a.parts.Dataplane.Close()
	}
	a.parts.Source.Close()
	a.listeners.close()
}

func (a *App) logStart() {
	addresses := a.Addresses()
	a.logger.WithField("node", a.name).WithField("peers", addresses.Peers).
		WithField("outbound", addresses.Outbound).WithField("inbound", addresses.Inbound).
		WithField("admin", addresses.Admin).Info("started")
}

// serve handles requests on the listener until ctx ends or the server is shut down.
func serve(ctx context.Context, server *http.Server, listener net.Listener) error {
	release := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer release()
	err := server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func withTLS(listener net.Listener, config *tls.Config) net.Listener {
	if config == nil {
		return listener
	}
	return tls.NewListener(listener, config)
}
