package entry

import (
	"bytes"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/netip"
	"os"

	"github.com/rotisserie/eris"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/ident"
)

// Settings configures the daemon of one VM.
type Settings struct {
	VM     ident.VMID       `json:"vm"`
	Domain ident.DomainName `json:"domain"`
	Region ident.RegionName `json:"region"`
	// Domains lists all failure domains of the fleet.
	Domains []ident.DomainName `json:"domains,omitempty"`
	// Packets is the address that receives packets from the fabric.
	Packets netip.AddrPort `json:"packets"`
	// Ready is the address that serves the readiness probe of the fabric.
	Ready netip.AddrPort `json:"ready"`
	// Peers is the address at which other VMs reach this one, by UDP and TCP.
	Peers netip.AddrPort `json:"peers"`
	// PeersListen is the local address for other VMs if it differs from Peers, for
	// a VM behind a forwarder.
	PeersListen netip.AddrPort `json:"peersListen,omitzero"`
	// Metrics is the address that serves metrics and status. It is optional.
	Metrics netip.AddrPort `json:"metrics,omitzero"`
	// Seeds lists the Peers addresses of VMs that may be running.
	Seeds []netip.AddrPort `json:"seeds"`
	// Source is the address of the store of published items.
	Source netip.AddrPort `json:"source"`
	// HeartbeatMillis is the period at which upstreams renew their published
	// items.
	HeartbeatMillis clock.Millis `json:"heartbeatMillis"`
	// StopMillis is the time between the signal to stop and the kill by the
	// platform.
	StopMillis clock.Millis `json:"stopMillis"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `json:"logLevel"`
}

// DefaultSettings returns the default settings, without identity and addresses.
func DefaultSettings() Settings {
	return Settings{HeartbeatMillis: 1000, StopMillis: 5000, LogLevel: "info"}
}

// LoadSettings reads the settings file at path. It returns the errors of
// ParseSettings.
func LoadSettings(path string) (s Settings, err error) {
	defer func() { err = eris.Wrapf(err, "entry: settings %s", path) }()
	data, err := os.ReadFile(path)
	if err != nil {
		return s, err
	}
	return ParseSettings(data)
}

// ParseSettings decodes settings from JSON over the defaults and validates them.
// Unknown fields are an error.
func ParseSettings(data []byte) (s Settings, err error) {
	s = DefaultSettings()
	if err = decodeSettings(data, &s); err != nil {
		return s, nameField(data, err)
	}
	return s, s.validate()
}

func decodeSettings(data []byte, s *Settings) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	return dec.Decode(s)
}

// nameField adds the name of the field that cannot be decoded to err.
// encoding/json does not name it for values that implement an unmarshaler.
func nameField(data []byte, err error) error {
	var fields map[string]json.RawMessage
	if json.Unmarshal(data, &fields) != nil {
		return err
	}
	for name, value := range fields {
		one, _ := json.Marshal(map[string]json.RawMessage{name: value})
		if err := decodeSettings(one, &Settings{}); err != nil {
			return fmt.Errorf("field %s: %w", name, err)
		}
	}
	return err
}

// listenAddress returns the local address for other VMs.
func (s *Settings) listenAddress() netip.AddrPort {
	if s.PeersListen.IsValid() {
		return s.PeersListen
	}
	return s.Peers
}

func (s *Settings) validate() error {
	if s.VM == "" {
		return fmt.Errorf("field vm: is missing")
	}
	if s.Domain == "" {
		return fmt.Errorf("field domain: is missing")
	}
	for _, a := range []struct {
		field string
		value netip.AddrPort
	}{{"packets", s.Packets}, {"ready", s.Ready}, {"peers", s.Peers}, {"source", s.Source}} {
		if !a.value.IsValid() || a.value.Port() == 0 {
			return fmt.Errorf("field %s: needs an IP address and port", a.field)
		}
	}
	for _, m := range []struct {
		field string
		value clock.Millis
	}{{"heartbeatMillis", s.HeartbeatMillis}, {"stopMillis", s.StopMillis}} {
		if m.value <= 0 {
			return fmt.Errorf("field %s: %d is not positive", m.field, m.value)
		}
	}
	if _, err := s.Level(); err != nil {
		return fmt.Errorf("field logLevel: %q is neither debug, info, warn nor error", s.LogLevel)
	}
	return nil
}

// Level returns the log level. It returns an error if LogLevel is unknown.
func (s *Settings) Level() (l slog.Level, err error) {
	err = l.UnmarshalText([]byte(s.LogLevel))
	return l, err
}
