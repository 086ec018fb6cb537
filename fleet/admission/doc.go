// Package admission decides which requests to open a flow are admitted while the
// upstreams of a service reject requests.
//
// Each VM has a Controller for each service whose routes differ in priority. It goes
// by the share of rejections among the answers that the VM sees, and holds back the
// lowest priority first (additive increase, multiplicative decrease). VMs exchange
// nothing about it.
package admission
