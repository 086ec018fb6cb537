// Package homes assigns each flow a home, the only VM that chooses an upstream
// for it.
//
// Flows hash into buckets, and rendezvous hashing ranks the VMs for each
// bucket. A VM that leaves or joins therefore changes the home only of the
// buckets that it owned or takes over. A View adds the previous homes of each
// bucket and the time of its last change.
package homes
