// Package gossip discovers the VMs of a fleet and spreads state among them
// without a configured member list.
//
// A starting VM sends messages to its seeds. Messages carry the addresses of a
// few other VMs, so that every VM eventually knows all. They also carry the
// revision of the sender's replica, the load it puts on upstreams, when its
// failure domain last heard each other one, and suspected failures of upstreams.
// A VM that learns of a newer revision fetches the difference. The number of
// messages that a VM sends per round is bounded, whatever the size of the fleet.
package gossip
