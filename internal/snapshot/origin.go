package snapshot

// Origin identifies the operators' configuration from which a document's services, routes and limits
// come. It is not part of the content that a Version identifies.
type Origin struct {
	// Number is the operators' own increasing number of the configuration; zero if unknown.
	Number uint64 `json:"number"`
	// Epoch is the epoch of the source in which the configuration was read.
	Epoch uint64 `json:"epoch,omitempty"`
}

// takesPrecedenceOver reports whether a configuration stays in force against that of a newer document.
// It does if the other one is older and was read in another epoch, from a source that was restored
// from a backup. Within an epoch the source's order is followed.
func (o Origin) takesPrecedenceOver(other Origin) bool {
	return o.Epoch != other.Epoch && other.Number > 0 && o.Number > other.Number
}

// Origin returns the origin of the document's configuration.
func (d *Document) Origin() Origin { return d.content.Origin }

// WithNewerConfiguration returns the document, or its successor with the configuration of held, the
// document in force before, if that configuration must stay in force. held may be nil.
func (d *Document) WithNewerConfiguration(held *Document) (*Document, error) {
	if held == nil || !held.content.Origin.takesPrecedenceOver(d.content.Origin) {
		return d, nil
	}
	return held.WithFleet(d.version.Revision.withKeptConfiguration(), d.content.Instances, d.content.Evacuations)
}
