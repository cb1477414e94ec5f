// Package follow keeps this instance's copies of objects in the platform's store up to date: the
// configuration in force, the list of endpoints and the orders to move services to other builds.
// Each kind of object is listed once and then watched. A watch returns at once when something
// changes, and after a short wait when nothing does. Either answer shows up to which time the copy
// was the newest. A [Mirror] serves the copies to other instances.
//
// Invariant: a configuration never replaces one of a higher version.
//
// Failure modes:
//
//   - While the store is down, slow or refuses this instance, the copies stay and grow old. Whoever
//     uses a copy has to look at its age.
//   - A watch that fails is repeated from the same revision. If the store no longer has the history
//     since that revision, the objects are listed again.
package follow
