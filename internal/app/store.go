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
	"github.com/winchhead/winchhead/internal/dataplane/server"
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

// sourceReader reads the platform, whatever it speaks.
type sourceReader interface {
	source.ConfigurationReader
	source.MemberReader
	Close()
}

// storeReader is a mirror with the adapter that it reads through.
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
		Store:      store,
		Logger:     logging.Part(logger, "mirror"),
		MemberOf:   memberBeside(configured, regions),
		Validate:   compiles,
		Timeout:    configured.Platform.Timeout,
		Registerer: registerer,
		NoGrace:    !configured.Mechanisms.LapseGrace,
	})
	return storeReader{Mirror: followed, store: store}, err
}

// compiles reports why a configuration cannot come into force.
func compiles(configuration *mirror.Configuration) error {
	document, err := snapshot.NewDocument(snapshot.Content{
		Revision: 1, Services: configuration.Services, Routes: configuration.Routes, Limits: configuration.Limits,
	})
	if err != nil {
		return err
	}
	_, err = policy.Compile(document, &membership.View{})
	return err
}

// parseZones reads the setting platform.zones.
func parseZones(text string) (map[string]string, error) {
	regions := make(map[string]string)
	for pair := range strings.SplitSeq(text, ",") {
		if pair == "" {
			continue
		}
		zone, region, found := strings.Cut(pair, "=")
		if !found || zone == "" || region == "" {
			return nil, eris.Errorf("platform.zones: %q is not zone=region", pair)
		}
		regions[zone] = region
	}
	return regions, nil
}

// memberBeside tells which node runs beside an instance: it has the instance's IP,
// by which it is named, and its ports are the same on all machines.
func memberBeside(configured settings.Settings, regions map[string]string) func(snapshot.Instance) (membership.ListedMember, bool) {
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

// stopMargin is what a planned stop leaves of the grace for its own end.
const stopMargin = 250 * time.Millisecond

// drainTime is how long a planned stop may wait for requests. Beside a store, the
// grace is the time after which the process is killed.
func drainTime(configured settings.Settings) time.Duration {
	grace := configured.Inbound.DrainGrace
	if configured.Platform.Kind == settings.PlatformStore {
		return max(grace-stopMargin, grace/2)
	}
	return grace
}

// dataplaneInputs are what the data plane is built from.
type dataplaneInputs struct {
	dig.In

	Settings   settings.Settings
	Listeners  *listeners
	Applier    *configuration.Applier
	Suspects   *suspects.Ledger
	Logger     logrus.FieldLogger
	Registerer prometheus.Registerer
}

// defaultIdleTimeout is how long callers' connections rest when the configuration
// names no time.
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
	return dataplane.New(dataplane.Options{
		Names:     platform.Names(),
		Snapshots: inputs.Applier,
		Service:   configured.Inbound.Service,
		Zone:      configured.Node.Zone,
		Backend:   configured.Inbound.Backend,
		Slots:     configured.Inbound.Slots,
		NodePort:  outbound.PortOf(configured.Inbound.Listen),
		Budget:    budgetOf(configured),
		Suspects:  inputs.Suspects,
		Cold:      inbound.ColdBounds{Overage: configured.Inbound.ColdOverage, Slack: configured.Inbound.ColdSlack},

		Mechanisms:         configured.Mechanisms,
		LinkBytesPerSecond: configured.Node.LinkMbps * bytesPerMegabit,
		Limits: server.Limits{
			MaxHeaderBytes: configured.Outbound.MaxHeaderBytes,
			MaxBodyBytes:   configured.Outbound.MaxBodyBytes,
			HeaderTimeout:  configured.Outbound.HeaderTimeout,
			IdleTimeout:    defaultIdleTimeout,
		},
		DrainNotice: configured.Inbound.DrainNotice,
		Logger:      inputs.Logger,
		Registerer:  inputs.Registerer,
	})
}

// bytesPerMegabit turns the setting node.link_mbps to bytes a second.
const bytesPerMegabit = 1e6 / 8

func budgetOf(configured settings.Settings) budget.Options {
	return budget.Options{
		Ratio: configured.Retries.Ratio, Slack: configured.Retries.Slack, Window: configured.Retries.Window,
		FirstStart: configured.Retries.FirstStart,
	}
}

// Reconfigure takes over what can change while the node runs: the bounds of
// retries. The settings are checked.
func (a *App) Reconfigure(configured settings.Settings) {
	if a.parts.Dataplane != nil {
		a.parts.Dataplane.SetBudget(budgetOf(configured))
	}
}
