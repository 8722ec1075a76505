package app

import (
	"math/rand/v2"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"go.uber.org/dig"

	"github.com/winchhead/winchhead/internal/admin"
	"github.com/winchhead/winchhead/internal/configuration"
	"github.com/winchhead/winchhead/internal/dataplane"
	"github.com/winchhead/winchhead/internal/dataplane/quota"
	"github.com/winchhead/winchhead/internal/dataplane/statement"
	"github.com/winchhead/winchhead/internal/distribution"
	"github.com/winchhead/winchhead/internal/keys"
	"github.com/winchhead/winchhead/internal/logging"
	"github.com/winchhead/winchhead/internal/membership"
	"github.com/winchhead/winchhead/internal/proxy/claim"
	"github.com/winchhead/winchhead/internal/proxy/inbound"
	"github.com/winchhead/winchhead/internal/proxy/outbound"
	"github.com/winchhead/winchhead/internal/settings"
	"github.com/winchhead/winchhead/internal/snapshot"
	"github.com/winchhead/winchhead/internal/suspects"
)

// parts are the objects that the container builds. Outbound, Inbound, Claims and
// Dataplane are nil if the settings turn them off.
type parts struct {
	dig.In

	Keys      *keys.Keys
	Source    sourceReader
	Applier   *configuration.Applier
	Node      *distribution.Node
	Readiness *readiness
	BackEnds  *backEndWatcher
	Outbound  *outbound.Proxy
	Inbound   *inbound.Proxy
	Claims    *claim.Memory
	Dataplane *dataplane.Node
	Suspects  *suspects.Tracker
	Admin     *admin.Server
}

// build registers the constructors of all parts with a container and returns the parts
// that it builds.
func build(configured settings.Settings, options Options, opened *listeners) (parts, error) {
	container := dig.New()
	constructors := []any{
		func() settings.Settings { return configured },
		func() Options { return options },
		func() *listeners { return opened },
		func() logrus.FieldLogger { return options.Logger },
		newRegistry,
		newSelfRecord,
		newKeys,
		newSource,
		newApplier,
		newClaimReplica,
		suspects.NewTracker,
		statement.NewTracker,
		newDistribution,
		newClaims,
		newNodeReadiness,
		newBackEndWatcher,
		newFleetChanges,
		newOutbound,
		newInbound,
		newQuota,
		newDataplane,
		newAdmin,
	}
	for _, constructor := range constructors {
		if err := container.Provide(constructor); err != nil {
			return parts{}, eris.Wrap(err, "register a constructor of the node")
		}
	}
	if err := container.Invoke(registerMetrics); err != nil {
		return parts{}, dig.RootCause(err)
	}
	var built parts
	err := container.Invoke(func(found parts) { built = found })
	return built, dig.RootCause(err)
}

func newRegistry(options Options) (*prometheus.Registry, prometheus.Registerer, error) {
	if options.Registry != nil {
		return options.Registry, options.Registry, nil
	}
	registry := prometheus.NewRegistry()
	process := []prometheus.Collector{
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	}
	for _, collector := range process {
		if err := registry.Register(collector); err != nil {
			return nil, nil, eris.Wrap(err, "register the process metrics")
		}
	}
	return registry, registry, nil
}

func newSelfRecord(configured settings.Settings, options Options, opened *listeners) membership.Record {
	started := options.Started
	if started.IsZero() {
		started = time.Now()
	}
	return selfRecord(configured, opened, started)
}

func newKeys(configured settings.Settings) (*keys.Keys, error) {
	loaded, err := keys.Load(configured.TLS)
	if err != nil {
		return nil, &SettingsError{Err: err}
	}
	return loaded, nil
}

func newApplier(configured settings.Settings, logger logrus.FieldLogger, registerer prometheus.Registerer) (*configuration.Applier, error) {
	return configuration.NewApplier(configuration.Options{
		Store:             &snapshot.Store{},
		Logger:            logger,
		Registerer:        registerer,
		HeartbeatInterval: configured.Platform.HeartbeatInterval,
	})
}

// distributionInputs are the dependencies of the distribution.
type distributionInputs struct {
	dig.In

	Settings  settings.Settings
	Options   Options
	Listeners *listeners
	Self      membership.Record
	Keys      *keys.Keys
	Source    sourceReader
	Applier   *configuration.Applier
	Adopter   *backEndWatcher
	Replica   *claim.Replica
	Suspects  *suspects.Tracker
	Changes   *fleetChanges
}

func newDistribution(inputs distributionInputs) (*distribution.Node, error) {
	timing := inputs.Options.Timing
	if timing == (distribution.Timing{}) {
		timing = distribution.DefaultTiming()
	}
	if inputs.Settings.Platform.Kind == settings.PlatformStore {
		timing = timing.ForCurrentSource()
	}
	seed := inputs.Options.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	node, err := distribution.NewNode(distribution.Options{
		Self:           inputs.Self,
		Listener:       inputs.Listeners.peers,
		TLS:            inputs.Keys.NodeConfig(),
		Configuration:  inputs.Source,
		Members:        inputs.Source,
		Adopter:        inputs.Adopter,
		Logger:         logging.Part(inputs.Options.Logger, "distribution"),
		Seed:           seed,
		Timing:         timing,
		Generation:     func() uint64 { return currentGeneration(inputs.Applier) },
		ReadersPerZone: inputs.Settings.Peers.ReadersPerZone,
		MaxLinks:       inputs.Settings.Peers.MaxLinks,

		SourceIsCurrent: inputs.Settings.Platform.Kind == settings.PlatformStore,
		ServeClaims:     func(stream *distribution.ClaimStream) { inputs.Replica.Serve(stream) },
		CrashesLearned:  newCrashHandler(inputs.Suspects, logging.Part(inputs.Options.Logger, "suspects")),

		FleetChangesLearned: inputs.Changes.apply,
	})
	if err != nil {
		return nil, err
	}
	inputs.Suspects.PublishWith(node.SendCrashes)
	if store, ok := inputs.Source.(storeReader); ok {
		store.OnChanges(node.SendFleetChanges)
		store.SetInForce(inputs.Applier.Listed)
	}
	return node, nil
}

// currentGeneration returns the generation of the snapshot in force, or 0 if there is
// none.
func currentGeneration(applier *configuration.Applier) uint64 {
	current := applier.Current()
	if current == nil {
		return 0
	}
	return current.Generation()
}

// backEndDecidesReadiness reports whether the node is ready only while its
// backend is.
func backEndDecidesReadiness(opened *listeners, configured settings.Settings) bool {
	return opened.inbound != nil && configured.Platform.Kind == settings.PlatformDocuments
}

// isEdge reports whether the node only sends requests to other nodes, which it learns
// of from its peers. With a store, the configuration in force names the instances.
func isEdge(opened *listeners, configured settings.Settings) bool {
	return opened.inbound == nil && opened.outbound != nil && configured.Platform.Kind == settings.PlatformDocuments
}

func newNodeReadiness(node *distribution.Node, opened *listeners, configured settings.Settings) *readiness {
	// A store lists the instances themselves, so the state that the node publishes
	// doesn't depend on its instance.
	return newReadiness(node, backEndDecidesReadiness(opened, configured))
}

// proxyInputs are the dependencies of the outbound and the inbound proxy.
type proxyInputs struct {
	dig.In

	Settings   settings.Settings
	Listeners  *listeners
	Self       membership.Record
	Keys       *keys.Keys
	Applier    *configuration.Applier
	Node       *distribution.Node
	Readiness  *readiness
	Logger     logrus.FieldLogger
	Registerer prometheus.Registerer
	Claims     *claim.Memory
}

func newOutbound(inputs proxyInputs) (*outbound.Proxy, error) {
	if inputs.Listeners.outbound == nil || inputs.Settings.Platform.Kind == settings.PlatformStore {
		return nil, nil
	}
	return outbound.New(outbound.Options{
		Snapshots:  inputs.Applier,
		Fleet:      inputs.Node,
		Self:       inputs.Self,
		TLS:        inputs.Keys.ClientConfig(),
		Settings:   inputs.Settings.Outbound,
		Logger:     logging.Part(inputs.Logger, "outbound"),
		Registerer: inputs.Registerer,
	})
}

func newInbound(inputs proxyInputs) (*inbound.Proxy, error) {
	if inputs.Listeners.inbound == nil || inputs.Settings.Platform.Kind == settings.PlatformStore {
		return nil, nil
	}
	options := inbound.Options{
		Snapshots:   inputs.Applier,
		Self:        inputs.Self,
		Incarnation: func() membership.Incarnation { return inputs.Node.Status().Incarnation },
		Publisher:   inputs.Readiness,
		Settings:    inputs.Settings.Inbound,
		Logger:      logging.Part(inputs.Logger, "inbound"),
		Registerer:  inputs.Registerer,
	}
	if inputs.Claims != nil {
		options.Memory = inputs.Claims
	}
	return inbound.New(options)
}

// adminInputs are the dependencies of the HTTP server for operators.
type adminInputs struct {
	dig.In

	Settings   settings.Settings
	Applier    *configuration.Applier
	Node       *distribution.Node
	Suspects   *suspects.Tracker
	Statements *statement.Tracker
	Quota      *quota.Limiter
	Registry   *prometheus.Registry
	Logger     logrus.FieldLogger
}

func newAdmin(inputs adminInputs) *admin.Server {
	return admin.New(admin.Options{
		Zone:       inputs.Settings.Node.Zone,
		Snapshots:  inputs.Applier,
		Fleet:      inputs.Node,
		Status:     inputs.Node,
		Restores:   inputs.Applier,
		Suspects:   inputs.Suspects,
		Statements: inputs.Statements,
		Quota:      inputs.Quota,
		Gatherer:   inputs.Registry,
		Logger:     logging.Part(inputs.Logger, "admin"),
	})
}
