package snapshot

// HashResources computes the hash of resources, as a hostile peer could.
func HashResources(resources []Resource) ContentHash { return hashDigests(digestsOf(resources)) }
