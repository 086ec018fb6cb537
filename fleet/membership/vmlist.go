package membership

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"

	"github.com/amaranthswitch/amaranthswitch/fleet/document"
)

// maxNameBytes is the maximum length of the identifier of a VM and of the name of its
// failure domain, in bytes.
const maxNameBytes = 63

// ParseVMs decodes the platform's list of VMs, a JSON array. It leaves out malformed
// entries, which other programs may have written, and passes an error for each to
// reject. It returns an error if data is not an array or has only malformed entries.
func ParseVMs(data []byte, reject func(err error)) (vms []VM, err error) {
	var entries []json.RawMessage
	if err = document.Decode(data, &entries); err != nil {
		return nil, fmt.Errorf("membership: list of VMs: %w", err)
	}
	for i, entry := range entries {
		vm, err := parseVM(entry)
		if err != nil {
			reject(fmt.Errorf("membership: list of VMs: entry %d: %w", i, err))
			continue
		}
		vms = append(vms, vm)
	}
	if len(vms) == 0 && len(entries) > 0 {
		return nil, errors.New("membership: list of VMs: all entries are malformed")
	}
	return vms, nil
}

// parseVM decodes an entry of the list of VMs and checks the fields without which the
// VM cannot be reached.
func parseVM(data []byte) (vm VM, err error) {
	if err = document.Decode(data, &vm); err != nil {
		return vm, err
	}
	for _, f := range []struct{ name, value string }{{"id", string(vm.ID)}, {"domain", string(vm.Domain)}} {
		if n := len(f.value); n == 0 || n > maxNameBytes {
			return vm, fmt.Errorf("field %s: must have 1 to %d bytes, has %d", f.name, maxNameBytes, n)
		}
	}
	for _, f := range []struct {
		name  string
		value netip.AddrPort
	}{{"tunnel", vm.Tunnel}, {"peer", vm.Peer}, {"rpc", vm.RPC}} {
		if !f.value.IsValid() || f.value.Port() == 0 {
			return vm, fmt.Errorf("field %s: needs an IP address and port", f.name)
		}
	}
	return vm, nil
}
