// Package replica keeps a read-only copy of versioned items that others publish.
//
// Each item carries the revision of its last change in the publisher's single
// sequence of revisions. A Replica keeps for each key the item of the highest
// revision that it was given, so copies may be merged in any order, from the
// publisher or from other VMs, and never go back. Removed items leave a
// tombstone with the value they had last.
package replica
