// Package site sets up all that surrounds the daemons of a deployment: the
// platform, the fabric, the back ends, the callers and, if wanted, proxies
// that inject faults between the VMs.
//
// Every VM and back end has an address of its own in 127.N.0.0/16, where N is
// the site's network. The daemons themselves are started through a Launcher,
// within the process or as processes of their own.
package site
