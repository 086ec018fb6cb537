// Package rpc makes and serves the calls between VMs.
package rpc
