package configuration

import (
	"strings"

	"github.com/sirupsen/logrus"

	"github.com/winchhead/winchhead/internal/snapshot"
)

// maxNamesOfALine bounds the instances that one line names.
const maxNamesOfALine = 8

// The ways in which a node learns of instances.
const (
	wayDocument = "document"
	wayChange   = "change"
)

// announceEndings tells the log which instances get no new requests from now on, and by which
// way this node learned it: with the line of the reader that first read of it, it shows how
// long this node took to know.
func (a *Applier) announceEndings(former, current *snapshot.Snapshot, way string) {
	ended := endedBetween(former, current)
	if len(ended) == 0 {
		return
	}
	a.logger.WithFields(logrus.Fields{
		"version": current.Version().String(), "way": way, "count": len(ended),
		"instances": strings.Join(ended[:min(len(ended), maxNamesOfALine)], ","),
	}).Info("instances leave or are gone: they get no new requests")
}

// endedBetween returns the names of the instances that took requests by the former snapshot
// and take none by the current one.
func endedBetween(former, current *snapshot.Snapshot) (ended []string) {
	if former == nil {
		return nil
	}
	for instance := range former.AllInstances() {
		if now, listed := current.Instance(instance.Name); instance.State == snapshot.InstanceReady && (!listed || now.State != snapshot.InstanceReady) {
			ended = append(ended, instance.Name)
		}
	}
	return ended
}
