package configuration

import (
	"strings"

	"github.com/sirupsen/logrus"

	"github.com/winchhead/winchhead/internal/snapshot"
)

// maxLoggedNames bounds the instances that are named in one log line.
const maxLoggedNames = 8

// Values of the log field "way": what told the node about a change to instances.
const (
	learnedByDocument = "document"
	learnedByChange   = "change"
)

// reportUnavailable logs the instances that get no new requests from now on, and how the node
// learned of it. Compared with the log of the node that read the change from the source, the
// line shows how long the change took to arrive here.
func (a *Applier) reportUnavailable(previous, current *snapshot.Snapshot, learnedBy string) {
	unavailable := newlyUnavailable(previous, current)
	if len(unavailable) == 0 {
		return
	}
	a.logger.WithFields(logrus.Fields{
		"version": current.Version().String(), "way": learnedBy, "count": len(unavailable),
		"instances": strings.Join(unavailable[:min(len(unavailable), maxLoggedNames)], ","),
	}).Info("instances draining or gone: no new requests are sent to them")
}

// newlyUnavailable returns the names of the instances that are ready in the previous snapshot but
// not in the current one.
func newlyUnavailable(previous, current *snapshot.Snapshot) (unavailable []string) {
	if previous == nil {
		return nil
	}
	for instance := range previous.AllInstances() {
		if now, listed := current.Instance(instance.Name); instance.State == snapshot.InstanceReady && (!listed || now.State != snapshot.InstanceReady) {
			unavailable = append(unavailable, instance.Name)
		}
	}
	return unavailable
}
