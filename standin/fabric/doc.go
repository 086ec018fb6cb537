// Package fabric simulates the network fabric, which sends each packet to a random entry
// VM, regardless of its flow.
package fabric
