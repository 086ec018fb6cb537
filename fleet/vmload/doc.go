// Package vmload decides what a VM does near the limits of its link and its processor.
//
// The fabric spreads packets evenly over VMs of different size. A VM that is near a
// limit drops openings, first those of the lowest priority, since a client sends an
// opening again and another VM may have room. Packets of open flows and openings of the
// highest priority pass. A VM that stays at a limit reports not ready, unless too many
// VMs of its failure domain do so already. While packets queue at its link, its evidence
// against upstreams is not to be trusted.
package vmload
