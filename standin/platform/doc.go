// Package platform simulates the configuration service of the users' platform.
//
// It serves the published configuration and the list of VMs by blocking queries: GET
// with the parameters index and wait returns as soon as the index of the value differs
// from index, or after wait, and sets the header X-Platform-Index to the index of the
// returned value. PUT publishes a value. A test can make the service fail or return
// stale values.
package platform
