package vm

import (
	"github.com/amaranthswitch/amaranthswitch/amaranthd/rpc"
	"github.com/amaranthswitch/amaranthswitch/fleet/config"
	"github.com/amaranthswitch/amaranthswitch/fleet/membership"
	"github.com/amaranthswitch/amaranthswitch/fleet/steering"
	"github.com/amaranthswitch/amaranthswitch/fleet/wire"
)

// RPC methods that VMs serve.
const (
	GetConfig rpc.Method = "config.get"
	HandOver  rpc.Method = "flows.handOver"
	GetStatus rpc.Method = "status.get"
)

// ConfigRequest asks for the active configuration. Have is the digest of the
// configuration that the caller can use as a dictionary, or empty.
type ConfigRequest struct {
	Have config.Digest `json:"have,omitempty"`
}

// ConfigReply carries a configuration as a Zstandard frame (RFC 8878), which
// needs the body named in the request as its dictionary if Delta is set.
type ConfigReply struct {
	Version config.Version       `json:"version"`
	Digest  config.Digest        `json:"digest"`
	Delta   bool                 `json:"delta,omitempty"`
	Body    []byte               `json:"body,omitempty"`
	Ramps   []steering.RampStart `json:"ramps,omitempty"`
	// Members is the replying VM's view of all VMs.
	Members []membership.Update `json:"members,omitempty"`
}

// HandOverRequest transfers flows that are exceptions to their new home.
type HandOverRequest struct {
	From  config.VMID     `json:"from"`
	Items []wire.FlowItem `json:"items"`
}

// HandOverReply acknowledges a handover of Taken items.
type HandOverReply struct {
	Taken int `json:"taken"`
}
