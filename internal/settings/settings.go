// Package settings loads and checks the static settings of a process: how it runs,
// as opposed to what it serves (package snapshot). They come from defaults, one
// YAML file and flags, each overriding the ones before, and are checked before
// anything starts.
package settings

import (
	"time"

	"github.com/winchhead/winchhead/internal/dataplane/mechanism"
)

// Settings are the effective settings of one node. Each field's help tag is the
// text shown by the command line.
type Settings struct {
	Node     Node     `yaml:"node"`
	Platform Platform `yaml:"platform"`
	Peers    Peers    `yaml:"peers"`
	Outbound Outbound `yaml:"outbound"`
	Inbound  Inbound  `yaml:"inbound"`
	Retries  Retries  `yaml:"retries"`
	// Mechanisms of the data plane are all enabled by default; disabling one shows
	// its effect. They apply with a store only.
	Mechanisms mechanism.Set `yaml:"mechanisms"`
	Admin      Admin         `yaml:"admin"`
	TLS        TLS           `yaml:"tls"`
	Log        Log           `yaml:"log"`
}

// Node identifies the node and describes its machine.
type Node struct {
	Name   string `yaml:"name" validate:"required,max=128" help:"name of the node, unique in the fleet"`
	Region string `yaml:"region" validate:"required,max=128" help:"region the node runs in"`
	Zone   string `yaml:"zone" validate:"required,max=128" help:"zone the node runs in"`
	// MemoryMb is the memory that the process may use, in MB; 0: no limit.
	MemoryMb float64 `yaml:"memory_mb" validate:"min=0" help:"memory that the process may take in MB, of which the Go runtime takes up to 70 %; 0: no limit"`
	// LinkMbps is the capacity of the machine's network link in Mbit/s; 0: estimated
	// from the observed traffic.
	LinkMbps float64 `yaml:"link_mbps" validate:"min=0" help:"capacity of the machine's link in Mbit/s (store); 0: learned from what is seen"`
}

// The values of Platform.Kind.
const (
	// PlatformDocuments serves whole documents (package source).
	PlatformDocuments = "documents"
	// PlatformStore is a key-value store with typed routes and instances.
	PlatformStore = "store"
)

// Platform configures access to the platform's read-only service.
type Platform struct {
	// Kind is the protocol of the platform: PlatformDocuments or PlatformStore.
	Kind string `yaml:"kind" validate:"oneof=documents store" help:"what the platform speaks: documents, or store for a key-value store with typed routes and instances"`
	// URL is the base of the platform's HTTP service.
	URL string `yaml:"url" validate:"required,http_url" help:"base URL of the platform's read-only service"`
	// Timeout is the timeout of one read, except for long polls.
	Timeout time.Duration `yaml:"timeout" validate:"gt=0" help:"longest time of one read, long polls excepted"`
	// MaxBodyBytes is the largest answer accepted from the platform.
	MaxBodyBytes int64 `yaml:"max_body_bytes" validate:"gt=0" help:"largest answer taken from the platform, in bytes"`
	// HeartbeatInterval is how often an instance renews its entry in a store, which drops an
	// entry after three missing heartbeats.
	HeartbeatInterval time.Duration `yaml:"heartbeat_interval" validate:"gt=0" help:"how often an instance renews its entry in a store"`
	// Zones gives the region of each zone, as "zone=region" separated by commas. A
	// store needs it, as its entries name zones only.
	Zones string `yaml:"zones" validate:"max=65536" help:"region of each zone for a store, as zone=region joined by commas; zones not named are of the node's region"`
}

// Peers configures the links to other nodes.
type Peers struct {
	// Listen is the address on which links of other nodes are accepted (IP:port).
	Listen string `yaml:"listen" validate:"required,address" help:"IP:port that takes links of other nodes"`
	// Advertise is the address announced to other nodes; empty means Listen.
	Advertise string `yaml:"advertise" validate:"omitempty,address" help:"IP:port that other nodes are told; empty: peers.listen"`
	// ReadersPerZone is how many nodes of a zone read the platform.
	ReadersPerZone int `yaml:"readers_per_zone" validate:"min=1" help:"how many nodes of a zone read the platform"`
	// MaxLinks is the maximum number of links to other nodes.
	MaxLinks int `yaml:"max_links" validate:"min=2" help:"most links to other nodes that a node keeps"`
}

// Outbound configures the proxy that callers use.
type Outbound struct {
	// Listen is the address to which callers send requests (IP:port); empty disables
	// the proxy.
	Listen string `yaml:"listen" validate:"omitempty,address" help:"IP:port for callers; empty: no outbound proxy"`
	// MaxHeaderBytes is the maximum size of a request's header.
	MaxHeaderBytes int `yaml:"max_header_bytes" validate:"gt=0" help:"largest request header, in bytes"`
	// MaxBodyBytes is the maximum size of a request's body.
	MaxBodyBytes int64 `yaml:"max_body_bytes" validate:"gt=0" help:"largest request body, in bytes"`
	// HeaderTimeout is the longest time a caller may take to send a header.
	HeaderTimeout time.Duration `yaml:"header_timeout" validate:"gt=0" help:"longest time a caller may take to send a header"`
	// RetryRatio is the maximum ratio of retries to requests (0 to 1).
	RetryRatio float64 `yaml:"retry_ratio" validate:"min=0,max=1" help:"share of requests that may be sent again (0 to 1)"`
	// Balance selects the load balancer: "two-choices", or "random" as a baseline.
	Balance string `yaml:"balance" validate:"oneof=two-choices random" help:"balancer: two-choices or random"`
}

// Inbound configures the proxy of a sidecar, in front of its backend; an empty Service disables it.
type Inbound struct {
	// Listen is the address to which other nodes send requests (IP:port).
	Listen string `yaml:"listen" validate:"required_with=Service,omitempty,address" help:"IP:port for requests of other nodes"`
	// Advertise is the address announced to other nodes; empty means Listen.
	Advertise string `yaml:"advertise" validate:"omitempty,address" help:"IP:port that other nodes are told; empty: inbound.listen"`
	// Service is the service that the backend belongs to.
	Service string `yaml:"service" validate:"max=128" help:"service of the back end beside the node; empty: no inbound proxy"`
	// Backend is the backend's address (IP:port).
	Backend string `yaml:"backend" validate:"required_with=Service,omitempty,address" help:"IP:port of the back end"`
	// Slots is how many requests the backend processes concurrently.
	Slots int `yaml:"slots" validate:"min=1" help:"requests that the back end runs at once"`
	// Connections is how many connections the backend accepts.
	Connections int `yaml:"connections" validate:"min=1" help:"connections that the back end takes"`
	// MaxQueued is the maximum number of requests waiting for a slot; with 0, requests
	// that find no free slot are refused at once.
	MaxQueued int `yaml:"max_queued" validate:"min=0" help:"most requests waiting for a slot; 0: refuse at once"`
	// HealthPath and LoadPath are the paths of the backend's health and load reports;
	// empty: not polled.
	HealthPath string `yaml:"health_path" validate:"omitempty,startswith=/" help:"path of the back end's health report; empty: not asked"`
	LoadPath   string `yaml:"load_path" validate:"omitempty,startswith=/" help:"path of the back end's load report; empty: not asked"`
	// HealthInterval is the interval at which the reports are polled.
	HealthInterval time.Duration `yaml:"health_interval" validate:"gt=0" help:"time between two reads of the reports"`
	// DrainGrace is how long a graceful shutdown waits for requests in progress.
	DrainGrace time.Duration `yaml:"drain_grace" validate:"gt=0" help:"how long a planned stop waits for requests in progress"`
	// DrainNotice is how long a graceful shutdown still accepts requests, while its senders
	// learn of it.
	DrainNotice time.Duration `yaml:"drain_notice" validate:"min=0" help:"how long a planned stop still takes requests, until those who send them know (store)"`
	// ColdOverage and ColdSlack limit the requests per second sent to a cold backend:
	// the factor on the rate that its service sets, and the excess beyond that.
	ColdOverage float64 `yaml:"cold_overage" validate:"min=0,max=100" help:"times the rate of its service that a cold back end may get; below 1: 1 (store)"`
	ColdSlack   float64 `yaml:"cold_slack" validate:"min=0,max=1000000" help:"requests in a second that a cold back end may get beyond that (store)"`
	// IdempotencyKeyRetention is how long an Idempotency-Key is remembered.
	IdempotencyKeyRetention time.Duration `yaml:"repeat_memory" validate:"gt=0" help:"how long an Idempotency-Key is remembered"`
	// IdempotencyKeyReplicas is how many nodes remember each Idempotency-Key; with 0, only the
	// node that ran the request does.
	IdempotencyKeyReplicas int `yaml:"repeat_replicas" validate:"min=0,max=9" help:"nodes that remember each Idempotency-Key; 0: only the node that ran the request"`
}

// Retries limits the retries of the whole fleet for one service, if the platform is
// a store.
type Retries struct {
	// Ratio is how many retries each request adds to the budget.
	Ratio float64 `yaml:"ratio" validate:"min=0,max=10" help:"repeats of the whole fleet that each request allows for (store)"`
	// Slack is how many retries the fleet may make beyond that in a window.
	Slack float64 `yaml:"slack" validate:"min=0" help:"repeats of the whole fleet beyond the ratio in one window (store)"`
	// Window is the time over which requests and retries are counted.
	Window time.Duration `yaml:"window" validate:"gt=0" help:"time over which repeats are counted (store)"`
	// FirstStart states that the fleet starts for the first time, so that no earlier process
	// of this node can have used the slack.
	FirstStart bool `yaml:"first_start" help:"the fleet starts for the first time: the node may use its part of the slack at once, not only after a window (store)"`
}

// Admin configures the admin API, the operators' HTTP of the help texts.
type Admin struct {
	// Listen is the address of the API (IP:port), on loopback by default.
	Listen string `yaml:"listen" validate:"required,address" help:"IP:port of the operators' HTTP"`
	// MetricsListen is a second address that serves only the metrics; empty: none.
	MetricsListen string `yaml:"metrics_listen" validate:"omitempty,address" help:"second IP:port that serves /metrics alone; empty: none"`
}

// TLS names the files for mutual TLS on links and on requests between nodes. If all
// are empty, connections are plain.
type TLS struct {
	CertificateFile string `yaml:"certificate_file" validate:"required_with=KeyFile AuthorityFile" help:"PEM file of the node's certificate; empty: plain connections"`
	KeyFile         string `yaml:"key_file" validate:"required_with=CertificateFile AuthorityFile" help:"PEM file of the certificate's private key"`
	AuthorityFile   string `yaml:"authority_file" validate:"required_with=CertificateFile KeyFile" help:"PEM file of the authority that signs all nodes' certificates"`
}

// Log configures logging.
type Log struct {
	Level  string `yaml:"level" validate:"oneof=error warning info debug" help:"least severity that is logged: error, warning, info or debug"`
	Format string `yaml:"format" validate:"oneof=text json" help:"form of the log: text or json"`
}
