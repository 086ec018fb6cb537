// Package replica keeps a read-only copy of versioned items from a publisher.
//
// Each item carries the revision of its last change in the publisher's sequence
// of revisions. For each key a Replica keeps the item with the highest revision
// it has received, so updates from the publisher and from other VMs may be
// merged in any order, and an item never goes back to an older revision. A
// removed item leaves a tombstone with its last value.
//
// A publisher that comes back from an older copy of its items begins a new Era, in which
// it gives out revisions again. Its first full update in that era replaces everything
// known of earlier ones.
package replica
