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

// errPlannedStop ends all parts after a planned stop.
var errPlannedStop = errors.New("planned stop")

// Run runs the node. When ctx ends it makes a planned stop and returns nil: the
// node announces that it leaves, finishes what it has and leaves the fleet. When
// a part fails it ends the others at once and returns a *PartError.
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

// task is what one part does until its context ends.
type task struct {
	name string
	run  func(ctx context.Context) error
}

func (a *App) tasks() []task {
	tasks := []task{
		{"configuration", a.parts.Applier.Run},
		{"readiness", a.followConfiguration},
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
		tasks = append(tasks, task{"back end reports", a.readReports})
		tasks = append(tasks, task{"inbound", func(ctx context.Context) error {
			return serve(ctx, a.inboundServer, secured(a.listeners.inbound, a.parts.Keys.ServerConfig()))
		}})
	}
	return tasks
}

// followConfiguration waits for the first version, and at an edge for the first node to
// which requests can go.
func (a *App) followConfiguration(ctx context.Context) error {
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
		case <-a.parts.Fleet.known:
		}
	}
	a.ready.holdVersion()
	return nil
}

func (a *App) readReports(ctx context.Context) error {
	a.parts.Inbound.Run(ctx)
	return nil
}

func (a *App) reloadKeys(ctx context.Context) error {
	a.parts.Keys.Run(ctx, a.logger)
	return nil
}

// trafficInterval is the time between two lines about the traffic of distribution.
const trafficInterval = 10 * time.Second

// logTraffic writes what distribution cost so far, for winchhead convergence.
func (a *App) logTraffic(ctx context.Context) error {
	for wait.For(ctx, trafficInterval) == nil {
		stats := a.Stats()
		a.logger.WithFields(logrus.Fields{
			convergence.FieldLinkBytes:   stats.LinkBytes(),
			convergence.FieldSourceBytes: stats.SourceBytes + stats.ListBytes,
		}).Info(convergence.MessageTraffic)
	}
	return nil
}

// drain is the planned stop up to the point where nothing is in progress.
func (a *App) drain(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, a.grace)
	defer cancel()
	a.logger.WithField("grace", a.grace.String()).Info("leaving: no new work")
	a.ready.stop()
	if a.parts.Dataplane != nil {
		a.logDrain("data plane", a.parts.Dataplane.Drain(ctx))
	}
	if a.parts.Inbound != nil {
		a.logDrain("inbound", a.parts.Inbound.Drain(ctx))
	}
	if a.parts.Outbound != nil {
		a.logDrain("outbound", a.parts.Outbound.Drain(ctx))
	}
	if a.inboundServer != nil {
		a.logDrain("inbound", a.inboundServer.Shutdown(ctx))
	}
}

func (a *App) logDrain(proxy string, err error) {
	if err != nil {
		a.logger.WithError(err).Warnf("the grace is over, cutting what the %s proxy still has", proxy)
	}
}

// closeAll frees what the parts hold. Errors of closing say nothing new here.
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

// serve answers on the listener until ctx ends or the server is shut down.
func serve(ctx context.Context, server *http.Server, listener net.Listener) error {
	release := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer release()
	err := server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func secured(listener net.Listener, config *tls.Config) net.Listener {
	if config == nil {
		return listener
	}
	return tls.NewListener(listener, config)
}
