package entry

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net/netip"
	"os"

	"github.com/rotisserie/eris"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/document"
	"github.com/amaranthswitch/amaranthswitch/fleet/ident"
	"github.com/amaranthswitch/amaranthswitch/fleet/vmload"
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
	// platform. The file may give it in seconds, as stopSeconds.
	StopMillis clock.Millis `json:"stopMillis"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `json:"logLevel"`
	// Limits are the limits of this VM, near which it drops openings. They are optional.
	Limits vmload.Limits `json:"limits,omitzero"`
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
// Unknown fields are an error. Durations may be fractions, which are rounded towards
// zero to whole milliseconds.
func ParseSettings(data []byte) (s Settings, err error) {
	s = DefaultSettings()
	f := settingsFile{Settings: &s}
	if err = f.decode(data); err != nil {
		return s, nameField(data, err)
	}
	if err = f.setDurations(); err != nil {
		return s, err
	}
	if s.Limits, err = f.Limits.limits(); err != nil {
		return s, err
	}
	return s, s.validate()
}

// settingsFile is the JSON form of Settings. Its own fields take the place of the
// durations, since a platform may write any number, such as 2.5, 6.0 or 1e3, and of the
// limits.
type settingsFile struct {
	*Settings
	HeartbeatMillis *float64 `json:"heartbeatMillis"`
	StopMillis      *float64 `json:"stopMillis"`
	StopSeconds     *float64 `json:"stopSeconds"`

	Limits *limitsFile `json:"limits"`
}

func (f *settingsFile) decode(data []byte) error {
	return document.DecodeKnown(data, f)
}

// setDurations sets the durations of Settings that the file gives.
func (f *settingsFile) setDurations() (err error) {
	if f.StopMillis != nil && f.StopSeconds != nil {
		return errors.New("field stopSeconds: stopMillis is given too")
	}
	for _, d := range []struct {
		field string
		value *float64
		unit  clock.Millis
		set   *clock.Millis
	}{
		{"heartbeatMillis", f.HeartbeatMillis, 1, &f.Settings.HeartbeatMillis},
		{"stopMillis", f.StopMillis, 1, &f.Settings.StopMillis},
		{"stopSeconds", f.StopSeconds, clock.Second, &f.Settings.StopMillis},
	} {
		if d.value == nil {
			continue
		}
		if *d.set, err = clock.FromFloat(*d.value * float64(d.unit)); err != nil {
			return fmt.Errorf("field %s: %w", d.field, err)
		}
	}
	return nil
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
		f := settingsFile{Settings: &Settings{}}
		if err := f.decode(one); err != nil {
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
	if s.HeartbeatMillis <= 0 {
		return fmt.Errorf("field heartbeatMillis: %d is not positive", s.HeartbeatMillis)
	}
	if s.StopMillis < 0 {
		return fmt.Errorf("field stopMillis or stopSeconds: %d ms is negative", s.StopMillis)
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
