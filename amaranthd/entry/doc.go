// Package entry is the daemon of an entry VM on a platform whose packets carry
// the upstream's token themselves.
//
// It assembles the decisions of package forward with their input and output: the
// packets of the fabric, the published items, the other VMs and the operators.
// What a platform speaks comes in as an Adapter.
package entry
