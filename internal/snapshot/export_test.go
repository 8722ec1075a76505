package snapshot

// HashResources lets tests compute the hash that a hostile peer would.
func HashResources(resources []Resource) ContentHash { return hashDigests(digestsOf(resources)) }
