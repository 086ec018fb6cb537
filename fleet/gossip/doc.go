// Package gossip keeps the group of VMs that know each other without any list
// of them.
//
// A VM that starts greets its seeds. Every message names a few other VMs, so
// that each comes to know all. Messages tell which revision of what is
// published the sender holds, how it loads the upstreams, and which failure domains
// and silent upstreams it heard of; a VM that learns
// of a newer revision fetches what it lacks. Each round goes to a bounded number
// of VMs, whatever the size of the fleet.
package gossip
