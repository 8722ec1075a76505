package fleet

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Report is what Converge measured. Bytes are counted at the sockets, received
// and sent together, without the headers of TCP and IP; those exchanged with the
// platform are included.
type Report struct {
	Nodes   int `json:"nodes"`
	Changes int `json:"changes"`
	// ConvergenceSeconds is over (change, node) pairs: from just before the
	// platform accepts a change until a node has it in force.
	ConvergenceSeconds Quantiles `json:"convergence_seconds"`
	// ControlBytesPerNodePerSecond is the mean over all nodes.
	ControlBytesPerNodePerSecond Rates `json:"control_bytes_per_node_per_second"`
	// BytesPerNodePerChange is what changing costs above idling.
	BytesPerNodePerChange float64 `json:"bytes_per_node_per_change"`
	// DeltaBytesPerChange is the mean size of the names and bodies that a change
	// touched.
	DeltaBytesPerChange float64 `json:"delta_bytes_per_change"`
	SourceReadersMax    int     `json:"source_readers_max"`
	SourceReadersLimit  int     `json:"source_readers_limit"`
	// CPUCoreSharePerNode is the processor time of the whole process, emulated
	// platform included, over time and nodes, while changes are made.
	CPUCoreSharePerNode     float64 `json:"cpu_core_share_per_node"`
	CPUCoreSharePerNodeIdle float64 `json:"cpu_core_share_per_node_idle"`
	// MemoryBytesPerNode is heap and stacks in use, less those before the nodes
	// started, over the nodes.
	MemoryBytesPerNode float64 `json:"memory_bytes_per_node"`
	// VersionRegressions counts broken promises: a node that went back or was
	// offered an older version, or holds what was never published.
	VersionRegressions int      `json:"version_regressions"`
	Breaches           []string `json:"breaches,omitempty"`
	// ColdStartSeconds is from the start of the first node until all hold the
	// first version.
	ColdStartSeconds float64     `json:"cold_start_seconds"`
	BytesByKind      []KindBytes `json:"bytes_by_kind"`
	Conditions       Conditions  `json:"conditions"`
	Baselines        []Baseline  `json:"baselines,omitempty"`
	// Timeline is for plots.
	Timeline []TimelinePoint `json:"-"`
	delays   []time.Duration
}

// Baseline is what a plain strategy costs under the same conditions.
type Baseline struct {
	Strategy                     string    `json:"strategy"`
	Changes                      int       `json:"changes"`
	ConvergenceSeconds           Quantiles `json:"convergence_seconds"`
	ControlBytesPerNodePerSecond Rates     `json:"control_bytes_per_node_per_second"`
	BytesPerNodePerChange        float64   `json:"bytes_per_node_per_change"`
	SourceReadersMax             int       `json:"source_readers_max"`
	CPUCoreSharePerNode          float64   `json:"cpu_core_share_per_node"`
	Conditions                   string    `json:"conditions"`
	delays                       []time.Duration
}

// Quantiles sums up a distribution, in seconds.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// Rates are bytes per second and node.
type Rates struct {
	Idle     float64 `json:"idle"`
	Changing float64 `json:"changing"`
}

// KindBytes is what one kind of message cost while changes were made, in bytes
// sent by all nodes.
type KindBytes struct {
	Kind  string `json:"kind"`
	Bytes uint64 `json:"bytes"`
}

// Conditions state how the figures came about.
type Conditions struct {
	ZoneDelaySeconds   float64  `json:"zone_delay_seconds"`
	RegionDelaySeconds float64  `json:"region_delay_seconds"`
	Regions            int      `json:"regions"`
	Zones              int      `json:"zones"`
	Services           int      `json:"services"`
	Routes             int      `json:"routes"`
	MutualTLS          bool     `json:"mutual_tls"`
	Seed               uint64   `json:"seed"`
	IdleSeconds        float64  `json:"idle_seconds"`
	ChangingSeconds    float64  `json:"changing_seconds"`
	Notes              []string `json:"notes"`
}

// TimelinePoint is the traffic of the fleet at one time.
type TimelinePoint struct {
	SinceStart time.Duration
	// BytesPerNodePerSecond is the mean since the point before.
	BytesPerNodePerSecond float64
}

// Bounds of the histogram of convergence times.
const (
	histogramMin    = int64(time.Microsecond)
	histogramMax    = int64(time.Hour)
	histogramDigits = 3
)

// quantilesOf sums up delays.
func quantilesOf(delays []time.Duration) Quantiles {
	histogram := hdrhistogram.New(histogramMin, histogramMax, histogramDigits)
	var longest time.Duration
	for _, delay := range delays {
		// A value outside the bounds is the only error, and bounded here.
		_ = histogram.RecordValue(min(max(int64(delay), histogramMin), histogramMax))
		longest = max(longest, delay)
	}
	return Quantiles{
		P50: time.Duration(histogram.ValueAtQuantile(50)).Seconds(),
		P99: time.Duration(histogram.ValueAtQuantile(99)).Seconds(),
		Max: longest.Seconds(),
	}
}
