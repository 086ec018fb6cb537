// Package warmup implements slow start: it limits the rate of new flows on cold
// upstreams. Warm-up is the same concept as slow start, which follows a cold
// start: an upstream is cold until its slow start ends, and its ramp is the curve
// of its rate of new flows during that time.
//
// The rate that a cold upstream may take rises over its warm-up. The VMs divide
// this rate among themselves without communicating. Each divides it by the
// larger of the published and the known number of VMs, so that VMs that
// disagree, or that are partitioned from each other, together stay within the
// rate.
package warmup
