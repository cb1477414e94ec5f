package limits

// Division of an endpoint's connections among the instances.
const (
	// burstDivisor is the divisor of an endpoint's limit that gives what each instance may use if
	// its equal share is less. After a restart of the whole fleet all callers reach the few
	// instances that are ready first, ten of 295, for half a second, while the others hold one
	// connection or none.
	burstDivisor = 20
	// minConnections is what an instance may always use.
	minConnections = 2
)

// MaxConnections returns how many connections each of the given number of instances may have to an
// endpoint that accepts limit connections in all.
func MaxConnections(limit, instances int) int {
	return max(limit/max(instances, 1), limit/burstDivisor, minConnections)
}
