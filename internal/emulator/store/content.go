package store

// Keys of the store.
const (
	KeyConfiguration = "op/config"
	// KeyInstances is the prefix of the entries of instances.
	KeyInstances = "servers/"
	// KeyEvacuations is the prefix of the keys that evacuate zones.
	KeyEvacuations = "op/evacuate/"
)

// Entry is what an instance writes about itself.
type Entry struct {
	// Born is the Unix millisecond of the start; zero: not told.
	Born    int64       `json:"born,omitempty"`
	Address string      `json:"address"`
	Info    EntryInfo   `json:"info"`
	Status  EntryStatus `json:"status"`
}

// EntryInfo is the part of an Entry that stays.
type EntryInfo struct {
	Service string `json:"service"`
	Zone    string `json:"zone"`
	Slots   int    `json:"slots"`
}

// EntryStatus is the part of an Entry that changes.
type EntryStatus struct {
	State    string `json:"state"`
	Sequence int    `json:"sequence"`
	// ColdRemainingMs is how long the instance stays cold.
	ColdRemainingMs int64 `json:"coldRemainingMs,omitempty"`
}

// States of an instance.
const (
	StateReady    = "ready"
	StateDraining = "draining"
)

// Configuration is what operators write.
type Configuration struct {
	Version      int           `json:"version"`
	Services     []Service     `json:"services"`
	Limits       Limits        `json:"limits"`
	VirtualHosts []VirtualHost `json:"virtualHosts"`
}

// Service is one service of a Configuration.
type Service struct {
	Name string `json:"name"`
	// ColdStartS is how long instances are cold after a start, ColdPerS how many requests
	// such a one bears in a second; zero: they are never cold.
	ColdStartS float64 `json:"coldStartS,omitempty"`
	ColdPerS   float64 `json:"coldPerS,omitempty"`
}

// Limits bound what callers send; sizes in bytes, times in milliseconds.
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

// Route is one route; times in milliseconds.
type Route struct {
	Name            string `json:"name"`
	PathPrefix      string `json:"pathPrefix"`
	Kind            string `json:"kind"`
	TimeoutMs       int    `json:"timeoutMs"`
	TargetLatencyMs int    `json:"targetLatencyMs"`
	Priority        int    `json:"priority"`
	Service         string `json:"service"`
	MaxAttempts     int    `json:"maxAttempts"`
}
