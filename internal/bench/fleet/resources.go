package fleet

import (
	"runtime"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// usage is the processor time of this process at one time.
type usage struct {
	at        time.Time
	processor time.Duration
}

func currentUsage() (usage, error) {
	var spent syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &spent); err != nil {
		return usage{}, eris.Wrap(err, "processor time")
	}
	processor := time.Duration(spent.Utime.Nano() + spent.Stime.Nano())
	return usage{at: time.Now(), processor: processor}, nil
}

// coreShare is the part of one core that each of the nodes used since before.
func (u usage) coreShare(before usage, nodes int) float64 {
	elapsed := u.at.Sub(before.at)
	if elapsed <= 0 || nodes == 0 {
		return 0
	}
	return (u.processor - before.processor).Seconds() / elapsed.Seconds() / float64(nodes)
}

// memoryInUse returns the bytes of heap and stacks in use after a collection.
func memoryInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapInuse + stats.StackInuse
}
