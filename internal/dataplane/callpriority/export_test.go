package callpriority

// Size returns the numbers of parent routes, call routes and links between them that are stored.
func (t *Tracker) Size() (parents, calls, links int) {
	for _, call := range t.calls {
		links += len(call.links)
	}
	return len(t.parents), len(t.calls), links
}
