// Package crashers detects requests that crash the endpoints that run them, and decides when such a
// request is no longer sent to any endpoint. The cause may be a request as a whole, or a part of its prompt
// that requests with other content share.
//
// Clients retry a request of this kind under a new id, at any instance, and each retry crashes as
// many endpoints as one request may try. The attempts share their content, so a [Registry] records,
// for each [Subject] of a team (a content hash, or a part of prompts), which endpoints crashed while they
// had it, and in which [Phase]. After [Settings.CrashThreshold] crashes the subject is stopped for a while,
// and with it all requests that have it.
//
// # Contract
//
// Attribution. A crash takes down all requests of the endpoint, and most of them did not cause it:
//
//   - A crash right after the answer began ([Begun]) is strong evidence, since few requests are at
//     that point at any moment. A crash while the endpoint merely had the request ([Present]) is
//     weaker. It is ignored if another request at the endpoint had begun, is or was stopped, or has
//     more crashes recorded.
//
//   - A crash after the answer had gone on for a while ([Late]) is the weakest evidence: it takes
//     [Settings.LateCrashThreshold] of them to stop the request.
//
//   - Crashes within [Settings.CoincidenceWindow] count as one incident, unless the request was
//     sent to the later endpoint after the earlier one had crashed. They may share a cause, such as
//     the loss of a data centre.
//
//   - A request that is answered is cleared: crashes before that no longer count. A request that
//     has been served for a while is cleared as well, unless a late crash is recorded for it.
//
//   - A request that had begun at a crashed endpoint, or that is one crash short of being stopped,
//     is tried by one instance at a time ([Careful]). The next crash is then conclusive and costs
//     one endpoint.
//
//   - A part is blamed if several requests with it crashed endpoints and no single one of them had all of
//     these endpoints. Any answer that goes on after the crashes clears the parts of its prompt. Of parts
//     that crashed the same endpoints each is stopped, and a request with only some of them is tried: its
//     answer or its crash tells them apart. A part that was answered before takes more crashes.
//
//   - A part that is stopped for one team is stopped for another after one crash there. One that is stopped for
//     two teams is stopped for each team for which it was never answered. Nothing that a single team sends stops
//     or clears a part for another team.
//
// Callers report a crash only if the endpoint's process is known to be gone, or if it fell silent
// right after its answer began, alone or with few others of its service, and can't be connected to for
// a while. They do not report other silence, lost answers, endpoints that were told to leave, or the loss of most of a data centre.
//
// Release. Once its time is over, a stopped request may be tried again, one attempt at a time. The
// next crash stops it again for twice as long. A complete answer, or an operator, clears it.
//
// Instances exchange one [Fact] for each request. Facts may arrive late, repeatedly and in any
// order: crashes are merged as a set, the latest clearing counts, and of two stops the one with the
// higher count.
//
// Bounds: a registry holds at most [Settings.MaxPerTeam] requests of a team and
// [Settings.MaxRequests] in all. The least suspicious are evicted first, from the team that has
// most of them. A team with [Settings.HarmfulThreshold] requests that crashed endpoints of a
// service within [Settings.HarmfulWindow] is likely to send more. Its requests that have not been
// served yet are then tried one at a time, and one [Begun] crash is enough to stop one. Requests with a
// stopped part don't count for that, and a request of which all parts were answered since is held back only
// if requests without a suspected part crashed endpoints. Of a prompt, the last 32 shared parts are considered.
//
// Failure modes: an instance does not count crashes that it has not heard of yet, so more endpoints
// crash before the request is stopped. Two contents with the same hash are taken for one request;
// the hash has 128 bits and is scoped to a team.
//
// The package does no I/O and reads no clock. A Registry is not safe for concurrent use.
package crashers
