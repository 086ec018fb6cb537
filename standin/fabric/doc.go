// Package fabric stands in for the network fabric, which hands any packet to
// any entry VM.
package fabric
