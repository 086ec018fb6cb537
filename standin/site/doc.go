// Package site runs a complete deployment on one machine: the daemons of the VMs and
// their environment, that is the platform, the fabric, the upstreams, the callers and,
// optionally, proxies that inject faults between the VMs.
//
// Each VM and upstream has its own address in 127.N.0.0/16, where N is set by
// WithNetwork. The daemons are started by a Launcher, in this process or as processes
// of their own.
package site
