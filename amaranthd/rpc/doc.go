// Package rpc implements JSON-RPC 2.0 calls between VMs over TCP, with pooled client
// connections.
package rpc
