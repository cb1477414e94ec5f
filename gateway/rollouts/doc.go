// Package rollouts moves services to other builds of their endpoints, as operators order it through
// the platform's store. Package core/rollout makes the decisions.
//
// A [Controller] filters the list of endpoints by their builds, and says for each request which
// builds may serve it. It counts the outcomes of requests ([Trial]); package exchange sends the
// counts to the other instances. An instance that decides to move or to roll back announces that to
// all others at once. All instances then try to write the state to the store, one after the other
// in an order by hash, until it is written.
//
// Failure modes:
//
//   - An instance that reaches neither the store nor enough of the others sends nothing to a target
//     whose order is not completed.
//   - While the store is down, a roll-back is in force at every instance that received it. It is
//     written once the store is back.
package rollouts
