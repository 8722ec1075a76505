// Package app builds a node from its settings with a dig container and manages its
// life cycle: opening ports, building the parts, readiness and the graceful shutdown. It
// keeps no global state, so that one process may run many nodes.
package app

import (
	"fmt"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/winchhead/winchhead/internal/distribution"
	"github.com/winchhead/winchhead/internal/logging"
	"github.com/winchhead/winchhead/internal/membership"
	"github.com/winchhead/winchhead/internal/settings"
	"github.com/winchhead/winchhead/internal/snapshot"
	"github.com/winchhead/winchhead/internal/wire"
)

// Options are the inputs of a node that don't come from its settings.
type Options struct {
	// Logger is required.
	Logger logrus.FieldLogger
	// Registry receives the node's metrics. Nil creates a new registry that also
	// holds the metrics of the process.
	Registry *prometheus.Registry
	// Started is the start time from which the node derives its incarnation. Zero
	// means the current time.
	Started time.Time
	// Seed makes random choices reproducible. Zero picks a random seed.
	Seed uint64
	// Timing replaces the intervals of the distribution. Zero means the defaults.
	Timing distribution.Timing
}

// PartError reports which part of a node failed.
type PartError struct {
	Part string
	Err  error
}

// Error returns the name of the part and the cause.
func (e *PartError) Error() string { return fmt.Sprintf("part %s failed: %v", e.Part, e.Err) }

// Unwrap returns the cause.
func (e *PartError) Unwrap() error { return e.Err }

// SettingsError reports settings that cannot be used, such as TLS keys that don't
// belong together.
type SettingsError struct{ Err error }

// Error returns the cause.
func (e *SettingsError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *SettingsError) Unwrap() error { return e.Err }

// App is one node.
type App struct {
	listeners *listeners
	parts     parts
	ready     *readiness
	logger    logrus.FieldLogger
	// inboundServer is nil for a node without a backend.
	inboundServer *http.Server
	name          string
	grace         time.Duration
	// edge is set on a node that only sends requests to others.
	edge bool
}

// New opens the node's ports and builds its parts without running anything. Call Run
// or Close on the result. The error is a *SettingsError if the settings are at fault.
func New(configured settings.Settings, options Options) (*App, error) {
	opened, err := openListeners(configured)
	if err != nil {
		return nil, err
	}
	built, err := build(configured, options, opened)
	if err != nil {
		opened.close()
		return nil, err
	}
	node := &App{
		listeners: opened,
		parts:     built,
		ready:     built.Readiness,
		logger:    logging.Part(options.Logger, "node"),
		name:      configured.Node.Name,
		grace:     drainTime(configured),
		edge:      isEdge(opened, configured),
	}
	if built.Inbound != nil {
		node.inboundServer = built.Inbound.Server()
	}
	return node, nil
}

// Close closes the ports of an App that was never run.
func (a *App) Close() { a.listeners.close() }

// Addresses returns the bound addresses, which are known even if the settings ask for
// port 0.
func (a *App) Addresses() Addresses { return a.listeners.addresses() }

// Ready returns a channel that is closed once the node has a configuration in force
// and accepts new work.
func (a *App) Ready() <-chan struct{} { return a.ready.done }

// Current returns the configuration in force, or nil if there is none yet.
func (a *App) Current() *snapshot.Snapshot { return a.parts.Applier.Current() }

// Status returns the state of the node in the distribution.
func (a *App) Status() wire.StatusReply { return a.parts.Node.Status() }

// Stats returns the traffic counters of the distribution.
func (a *App) Stats() distribution.Stats { return a.parts.Node.Stats() }

// selfRecord returns the first record that the node publishes about itself.
func selfRecord(configured settings.Settings, opened *listeners, now time.Time) membership.Record {
	record := membership.Record{
		Node:        membership.NodeID(configured.Node.Name),
		Incarnation: membership.Incarnation(now.UnixMilli()),
		State:       membership.StateStarting,
		Region:      configured.Node.Region,
		Zone:        configured.Node.Zone,
		PeerAddress: advertisedAddress(configured.Peers.Advertise, boundAddress(opened.peers)),
	}
	if opened.inbound != nil {
		record.DataAddress = advertisedAddress(configured.Inbound.Advertise, boundAddress(opened.inbound))
		record.Service = configured.Inbound.Service
		record.Slots = configured.Inbound.Slots
	}
	return record
}

func advertisedAddress(configured, bound string) string {
	if configured != "" {
		return configured
	}
	return bound
}
