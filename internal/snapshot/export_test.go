package snapshot

// HashResources lets tests compute the hash that a hostile peer would.
var HashResources = hashResources
