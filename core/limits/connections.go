package limits

// How the connections that an endpoint takes are divided among the instances.
const (
	// burstParts: each instance may use one part in so many of an endpoint's bound, where its equal share is less. When a
	// fleet returns, all callers meet the first few instances that are ready, ten of 295, for half a second, while the
	// others hold one connection or none.
	burstParts = 20
	// connectionsLeast is what an instance may always use.
	connectionsLeast = 2
)

// Connections returns how many connections to an endpoint that takes bound of them an instance may have, one of some
// instances that use it.
func Connections(bound, instances int) int {
	return max(bound/max(instances, 1), bound/burstParts, connectionsLeast)
}
