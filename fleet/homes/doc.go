// Package homes assigns each flow a home, the VM that alone places it.
//
// Flows hash into buckets, and each bucket ranks the VMs by rendezvous
// hashing, so that a VM that leaves or joins moves only its own share. A View
// also remembers who was home before a change, for how long the change has
// stood, and who was a neighbour in rank.
package homes
