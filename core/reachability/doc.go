// Package reachability decides whether an instance is cut off from the endpoints: whether it can
// reach none of them, although they may be up and reachable for others.
//
// One failure says nothing: the endpoint may be down, and so may all of a data centre. Failures at
// several endpoints without any contact in between make the instance probe further ones. It is cut
// off if [Rounds] rounds of probes in a row reach none. It is connected again once as many rounds in
// a row have reached endpoints; after a cut that returns soon, twice as many.
//
// Only new connections count. Open ones may live on while new ones are refused, and an idle one may
// have been closed for other reasons.
//
// Failure modes: if all endpoints are down, every instance is cut off. The package cannot tell that
// apart; its callers have to ask whether peers reach endpoints.
//
// The package does no I/O and reads no clock. Its types are not safe for concurrent use.
package reachability
