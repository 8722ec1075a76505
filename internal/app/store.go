package app

import (
	"net/netip"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"go.uber.org/dig"

	"github.com/winchhead/winchhead/internal/configuration"
	"github.com/winchhead/winchhead/internal/dataplane"
	"github.com/winchhead/winchhead/internal/dataplane/budget"
	"github.com/winchhead/winchhead/internal/dataplane/client"
	"github.com/winchhead/winchhead/internal/dataplane/inbound"
	"github.com/winchhead/winchhead/internal/dataplane/outbound"
	"github.com/winchhead/winchhead/internal/dataplane/quota"
	"github.com/winchhead/winchhead/internal/dataplane/server"
	"github.com/winchhead/winchhead/internal/dataplane/statement"
	"github.com/winchhead/winchhead/internal/distribution"
	"github.com/winchhead/winchhead/internal/logging"
	"github.com/winchhead/winchhead/internal/membership"
	"github.com/winchhead/winchhead/internal/mirror"
	"github.com/winchhead/winchhead/internal/policy"
	"github.com/winchhead/winchhead/internal/settings"
	"github.com/winchhead/winchhead/internal/snapshot"
	"github.com/winchhead/winchhead/internal/source"
	"github.com/winchhead/winchhead/internal/suspects"
	"github.com/winchhead/winchhead/platform"
)

// sourceReader reads the configuration and the members from the platform, of either kind.
type sourceReader interface {
	source.ConfigurationReader
	source.MemberReader
	Close()
}

// storeReader is a mirror together with the store adapter that it reads through.
type storeReader struct {
	*mirror.Mirror
	store *platform.Store
}

// Close ends the reads and closes the connections to the store.
func (r storeReader) Close() {
	r.Mirror.Close()
	r.store.Close()
}

func newSource(configured settings.Settings, self membership.Record, logger logrus.FieldLogger, registerer prometheus.Registerer) (sourceReader, error) {
	if configured.Platform.Kind != settings.PlatformStore {
		return source.NewClient(source.Options{
			BaseURL:      configured.Platform.URL,
			MaxBodyBytes: configured.Platform.MaxBodyBytes,
			Timeout:      configured.Platform.Timeout,
			Node:         self.Node,
		}), nil
	}
	regions, err := parseZones(configured.Platform.Zones)
	if err != nil {
		return nil, &SettingsError{Err: err}
	}
	store := platform.NewStore(configured.Platform.URL, client.DialRemote)
	followed, err := mirror.New(mirror.Options{
		Store:                store,
		Logger:               logging.Part(logger, "mirror"),
		MemberOf:             sidecarOf(configured, regions),
		Validate:             validateConfiguration,
		Timeout:              configured.Platform.Timeout,
		Registerer:           registerer,
		DisableRecoveryGrace: !configured.Mechanisms.LapseGrace,
	})
	return storeReader{Mirror: followed, store: store}, err
}

// validateConfiguration returns why a configuration cannot come into force, or nil. A region that does not
// exist is no reason: it has no instances, so that it admits none.
func validateConfiguration(configuration *mirror.Configuration) error {
	_, err := policy.Compile(configuration.Document(), &membership.View{})
	return err
}

// parseZones parses the setting platform.zones, a list of zone=region pairs, and returns
// the region of each zone.
func parseZones(text string) (map[string]string, error) {
	regions := make(map[string]string)
	for pair := range strings.SplitSeq(text, ",") {
		if pair == "" {
			continue
		}
		zone, region, found := strings.Cut(pair, "=")
		if !found || zone == "" || region == "" {
			return nil, eris.Errorf("platform.zones: %q is not of the form zone=region", pair)
		}
		regions[zone] = region
	}
	return regions, nil
}

// sidecarOf returns a function that returns the sidecar of an instance. The sidecar is named
// by the instance's IP address and listens on the same ports on all machines.
func sidecarOf(configured settings.Settings, regions map[string]string) func(snapshot.Instance) (membership.ListedMember, bool) {
	peerPort := outbound.PortOf(configured.Peers.Listen)
	return func(instance snapshot.Instance) (membership.ListedMember, bool) {
		address, err := netip.ParseAddrPort(instance.Address)
		if err != nil {
			return membership.ListedMember{}, false
		}
		region, known := regions[instance.Zone]
		if !known {
			region = configured.Node.Region
		}
		return membership.ListedMember{
			Node:        membership.NodeID(address.Addr().String()),
			PeerAddress: netip.AddrPortFrom(address.Addr(), uint16(peerPort)).String(),
			Region:      region,
			Zone:        instance.Zone,
			Service:     instance.Service,
			State:       membership.ListedLive,
		}, true
	}
}

// stopMargin is the part of the grace period that a graceful shutdown keeps for its own
// cleanup.
const stopMargin = 250 * time.Millisecond

// drainTime returns how long a graceful shutdown may wait for requests in progress. With a
// store, the process is killed when the grace period ends, so the shutdown ends earlier.
func drainTime(configured settings.Settings) time.Duration {
	grace := configured.Inbound.DrainGrace
	if configured.Platform.Kind == settings.PlatformStore {
		return max(grace-stopMargin, grace/2)
	}
	return grace
}

// dataplaneInputs are the dependencies of the data plane.
type dataplaneInputs struct {
	dig.In

	Settings   settings.Settings
	Listeners  *listeners
	Applier    *configuration.Applier
	Node       *distribution.Node
	Suspects   *suspects.Tracker
	Statements *statement.Tracker
	Quota      *quota.Limiter
	Logger     logrus.FieldLogger
	Registerer prometheus.Registerer
}

// newQuota returns the limiter of the requests of tenants. It registers its metrics if the node has a data
// plane, which uses it.
func newQuota(configured settings.Settings, logger logrus.FieldLogger, registerer prometheus.Registerer) (*quota.Limiter, error) {
	limiter := quota.New(quota.Options{Node: dataplane.IPOf(configured.Inbound.Backend), Logger: logging.Part(logger, "quota")})
	if configured.Platform.Kind != settings.PlatformStore {
		return limiter, nil
	}
	return limiter, eris.Wrap(registerer.Register(limiter.Collector()), "register the metrics of tenants")
}

// defaultIdleTimeout is how long connections of callers may be idle if the
// configuration sets no time.
const defaultIdleTimeout = 60 * time.Second

// newDataplane returns nil unless the platform is a store.
func newDataplane(inputs dataplaneInputs) (*dataplane.Node, error) {
	configured := inputs.Settings
	if configured.Platform.Kind != settings.PlatformStore {
		return nil, nil
	}
	if inputs.Listeners.outbound == nil || inputs.Listeners.inbound == nil {
		return nil, &SettingsError{Err: eris.New("platform.kind store needs outbound.listen, inbound.listen and inbound.service")}
	}
	regions, err := parseZones(configured.Platform.Zones)
	if err != nil {
		return nil, &SettingsError{Err: err}
	}
	return dataplane.New(dataplane.Options{
		Names:      platform.HeaderNames(),
		Snapshots:  inputs.Applier,
		Service:    configured.Inbound.Service,
		Zone:       configured.Node.Zone,
		Backend:    configured.Inbound.Backend,
		Slots:      configured.Inbound.Slots,
		NodePort:   outbound.PortOf(configured.Inbound.Listen),
		Budget:     retryBudget(configured),
		Regions:    regions,
		Suspects:   inputs.Suspects,
		Statements: inputs.Statements,
		Quota:      inputs.Quota,
		Cold:       inbound.ColdBounds{Overage: configured.Inbound.ColdOverage, Slack: configured.Inbound.ColdSlack},

		Mechanisms:         configured.Mechanisms,
		LinkBytesPerSecond: configured.Node.LinkMbps * bytesPerMegabit,
		BodyMemory:         int64(bodyMemoryShare * configured.Node.MemoryMb * bytesPerMegabyte),
		Limits: server.Limits{
			MaxHeaderBytes: configured.Outbound.MaxHeaderBytes,
			MaxBodyBytes:   configured.Outbound.MaxBodyBytes,
			HeaderTimeout:  configured.Outbound.HeaderTimeout,
			IdleTimeout:    defaultIdleTimeout,
		},
		DrainNotice: configured.Inbound.DrainNotice,
		SourceAge:   inputs.Node.SourceAge,
		Logger:      inputs.Logger,
		Registerer:  inputs.Registerer,
	})
}

const (
	// bodyMemoryShare is the share of the process's memory for the request bodies of callers, and again for those
	// of other nodes. Together with the heap that is garbage, they stay below the share of the Go runtime.
	bodyMemoryShare = 0.2
	// bytesPerMegabyte converts the setting node.memory_mb to bytes.
	bytesPerMegabyte = 1 << 20
)

// bytesPerMegabit converts the setting node.link_mbps to bytes per second.
const bytesPerMegabit = 1e6 / 8

func retryBudget(configured settings.Settings) budget.Options {
	return budget.Options{
		Ratio: configured.Retries.Ratio, Slack: configured.Retries.Slack, Window: configured.Retries.Window,
		FirstStart: configured.Retries.FirstStart,
	}
}

// Reconfigure applies the settings that can change while the node runs: the limits of
// retries. The settings must be valid.
func (a *App) Reconfigure(configured settings.Settings) {
	if a.parts.Dataplane != nil {
		a.parts.Dataplane.SetBudget(retryBudget(configured))
	}
}
