// Package settings owns the static settings of a process: how it runs, as
// opposed to what it serves (package snapshot). They come from defaults, one
// YAML file and flags, in this order, and are checked before anything starts.
package settings

import "time"

// Settings are the effective settings of one node.
type Settings struct {
	Node     Node     `yaml:"node"`
	Platform Platform `yaml:"platform"`
	Peers    Peers    `yaml:"peers"`
	Outbound Outbound `yaml:"outbound"`
	Inbound  Inbound  `yaml:"inbound"`
	Admin    Admin    `yaml:"admin"`
	TLS      TLS      `yaml:"tls"`
	Log      Log      `yaml:"log"`
}

// Node says who the process is.
type Node struct {
	Name   string `yaml:"name" validate:"required"`
	Region string `yaml:"region" validate:"required"`
	Zone   string `yaml:"zone" validate:"required"`
}

// Platform says where the read-only service is.
type Platform struct {
	// URL is the base of the platform's HTTP service.
	URL string `yaml:"url" validate:"required,http_url"`
	// Timeout bounds one read, long polls excepted.
	Timeout time.Duration `yaml:"timeout"`
	// MaxBodyBytes bounds one answer.
	MaxBodyBytes int64 `yaml:"max_body_bytes"`
}

// Peers sets the links to other nodes.
type Peers struct {
	// Listen is where links of other nodes are taken (IP:port).
	Listen string `yaml:"listen" validate:"required,hostname_port"`
	// Advertise is the address others are told; empty means Listen.
	Advertise string `yaml:"advertise"`
	// ReadersPerZone is how many nodes of a zone read the source.
	ReadersPerZone int `yaml:"readers_per_zone" validate:"min=1"`
	// MaxLinks bounds the links a node keeps.
	MaxLinks int `yaml:"max_links" validate:"min=2"`
}

// Outbound sets the proxy that callers use.
type Outbound struct {
	// Listen is where callers send requests (IP:port); empty turns it off.
	Listen string `yaml:"listen"`
	// MaxHeaderBytes bounds the header of a request.
	MaxHeaderBytes int `yaml:"max_header_bytes"`
	// MaxBodyBytes bounds the body of a request.
	MaxBodyBytes int64 `yaml:"max_body_bytes"`
	// HeaderTimeout bounds how long a caller may take to send a header.
	HeaderTimeout time.Duration `yaml:"header_timeout"`
	// RetryRatio is the share of requests that may be sent again.
	RetryRatio float64 `yaml:"retry_ratio" validate:"min=0,max=1"`
	// Balance picks the balancer: "two-choices", or "random" as a baseline.
	Balance string `yaml:"balance" validate:"oneof=two-choices random"`
}

// Inbound sets the proxy beside a back end; Service empty turns it off.
type Inbound struct {
	// Listen is where other nodes send requests (IP:port).
	Listen string `yaml:"listen"`
	// Advertise is the address others are told; empty means Listen.
	Advertise string `yaml:"advertise"`
	// Service is the service of the back end.
	Service string `yaml:"service"`
	// Backend is the back end's address (IP:port).
	Backend string `yaml:"backend"`
	// Slots is how many requests the back end runs at once.
	Slots int `yaml:"slots" validate:"min=1"`
	// Connections is how many connections the back end takes.
	Connections int `yaml:"connections" validate:"min=1"`
	// MaxQueued bounds the requests waiting for a slot; 0 refuses at once.
	MaxQueued int `yaml:"max_queued" validate:"min=0"`
	// HealthPath and LoadPath are the back end's reports; empty: not asked.
	HealthPath string `yaml:"health_path"`
	LoadPath   string `yaml:"load_path"`
	// HealthInterval is the time between two reads of the reports.
	HealthInterval time.Duration `yaml:"health_interval"`
	// DrainGrace is how long a planned stop waits for requests in progress.
	DrainGrace time.Duration `yaml:"drain_grace"`
	// RepeatMemory is how long an Idempotency-Key is remembered.
	RepeatMemory time.Duration `yaml:"repeat_memory"`
}

// Admin sets the operators' HTTP.
type Admin struct {
	// Listen is the address (IP:port), on loopback unless set otherwise.
	Listen string `yaml:"listen" validate:"required,hostname_port"`
}

// TLS names the keys of links and of requests between nodes; all empty: plain.
type TLS struct {
	CertificateFile string `yaml:"certificate_file"`
	KeyFile         string `yaml:"key_file"`
	AuthorityFile   string `yaml:"authority_file"`
}

// Log sets the logs.
type Log struct {
	Level  string `yaml:"level" validate:"oneof=error warning info debug"`
	Format string `yaml:"format" validate:"oneof=text json"`
}

// Contract of the functions beside these types:
//
//	func Defaults() Settings
//	type Origin string // "default", "file:LINE", "flag"
//	type Loaded struct{ Settings; Origins map[string]Origin /* by dotted key */ }
//	func Load(path string, flags Overrides) (Loaded, error) // *Error{File, Line, Key, Problem}: one clear message
//	Overrides is map[dotted key]string filled from --set KEY=VALUE and the named flags.
