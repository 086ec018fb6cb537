package vm

import (
	"github.com/amaranthswitch/amaranthswitch/amaranthd/rpc"
	"github.com/amaranthswitch/amaranthswitch/fleet/config"
	"github.com/amaranthswitch/amaranthswitch/fleet/membership"
	"github.com/amaranthswitch/amaranthswitch/fleet/steering"
	"github.com/amaranthswitch/amaranthswitch/fleet/wire"
)

// Methods that VMs serve.
const (
	GetConfig rpc.Method = "config.get"
	HandOver  rpc.Method = "flows.handOver"
	GetStatus rpc.Method = "status.get"
)

// ConfigRequest asks for the configuration in force. Have names the one that
// the caller can use as a dictionary.
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
	// Members is what the VM believes of all VMs.
	Members []membership.Update `json:"members,omitempty"`
}

// HandOverRequest gives exceptions to their new home.
type HandOverRequest struct {
	From  config.VMID     `json:"from"`
	Items []wire.FlowItem `json:"items"`
}

// HandOverReply acknowledges a handover.
type HandOverReply struct {
	Taken int `json:"taken"`
}
