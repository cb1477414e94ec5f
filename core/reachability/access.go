package reachability

// Access is what an instance tells others of its access to the endpoints.
type Access int

// Values of Access. They are sent to other instances.
const (
	// AccessUnknown is that of an instance that does not tell, and serves no requests for others.
	AccessUnknown Access = iota
	// AccessReached means that it can serve requests for others.
	AccessReached
	// AccessCutOff means that it reaches no endpoint.
	AccessCutOff
)
