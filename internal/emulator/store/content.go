package store

// Keys of the store.
const (
	KeyConfiguration = "op/config"
	// KeyInstances is the prefix of the keys of instance entries.
	KeyInstances = "servers/"
	// KeyEvacuations is the prefix of the keys that mark a zone as evacuated.
	KeyEvacuations = "op/evacuate/"
)

// Entry is the record that an instance writes about itself.
type Entry struct {
	// StartedMillis is the start time in Unix milliseconds; zero: unknown.
	StartedMillis int64       `json:"born,omitempty"`
	Address       string      `json:"address"`
	Info          EntryInfo   `json:"info"`
	Status        EntryStatus `json:"status"`
}

// EntryInfo is the constant part of an Entry.
type EntryInfo struct {
	Service string `json:"service"`
	Zone    string `json:"zone"`
	Slots   int    `json:"slots"`
}

// EntryStatus is the variable part of an Entry.
type EntryStatus struct {
	State    string `json:"state"`
	Sequence int    `json:"sequence"`
	// ColdRemainingMs is how long the instance is still cold, in milliseconds.
	ColdRemainingMs int64 `json:"coldRemainingMs,omitempty"`
}

// States of an instance.
const (
	StateReady    = "ready"
	StateDraining = "draining"
)

// Configuration is the configuration that operators write.
type Configuration struct {
	Version  int       `json:"version"`
	Services []Service `json:"services"`
	Limits   Limits    `json:"limits"`
	// Tenants are the callers with API keys; nil: nobody needs a key.
	Tenants      []Tenant      `json:"tenants,omitempty"`
	VirtualHosts []VirtualHost `json:"virtualHosts"`
}

// Tenant is a caller with API keys. A rate of zero means no limit.
type Tenant struct {
	Name     string   `json:"name"`
	APIKeys  []string `json:"apiKeys"`
	RatePerS float64  `json:"ratePerS,omitempty"`
	Burst    float64  `json:"burst,omitempty"`
}

// Service is one service of a Configuration.
type Service struct {
	Name string `json:"name"`
	// ColdStartS is how many seconds an instance is cold after its start, and ColdPerS how many
	// requests a second a cold instance can take; zero: instances are never cold.
	ColdStartS float64 `json:"coldStartS,omitempty"`
	ColdPerS   float64 `json:"coldPerS,omitempty"`
	HealthPath string  `json:"healthPath,omitempty"`
}

// Limits bound the requests of callers. Sizes are in bytes, times in milliseconds.
type Limits struct {
	MaxHeaderBytes  int `json:"maxHeaderBytes"`
	MaxBodyBytes    int `json:"maxBodyBytes"`
	HeaderTimeoutMs int `json:"headerTimeoutMs"`
	IdleTimeoutMs   int `json:"idleTimeoutMs"`
}

// VirtualHost holds the routes of one host.
type VirtualHost struct {
	Host  string  `json:"host"`
	Paths []Route `json:"paths"`
}

// Kinds of a Route.
const (
	KindSafe   = "safe"
	KindUnsafe = "unsafe"
)

// Route maps a path prefix to a service. Times are in milliseconds.
type Route struct {
	Name            string `json:"name"`
	PathPrefix      string `json:"pathPrefix"`
	Kind            string `json:"kind"`
	TimeoutMs       int    `json:"timeoutMs"`
	TargetLatencyMs int    `json:"targetLatencyMs"`
	Priority        int    `json:"priority"`
	Service         string `json:"service"`
	MaxAttempts     int    `json:"maxAttempts"`
	// AllowAnonymous lets requests without a key pass.
	AllowAnonymous bool `json:"allowAnonymous,omitempty"`
}
