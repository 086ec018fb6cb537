// Package platform stands in for the users' configuration service.
//
// It serves the published configuration and the list of VMs by blocking
// queries: GET with the parameters index and wait returns when the value is
// newer than index or the wait is over, with the new index in the header
// X-Platform-Index. PUT publishes. A test can make it fail or serve old
// values.
package platform
