// Package follow keeps what this instance knows in step with the platform's store: the configuration
// in force and the list of endpoints. Each is listed once and then watched; a watch returns at once
// when something changes, and after a short wait when nothing does, which proves that what is held is
// the newest.
//
// Failure modes: while the store is away, slow or refuses this instance, what is held stays and grows
// old; whoever serves from it looks at its age. A watch that is cut goes on, one whose history is gone
// begins again with a list. A version of the configuration never replaces a higher one.
package follow
