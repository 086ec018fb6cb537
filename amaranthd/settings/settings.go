package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"os"

	"github.com/rotisserie/eris"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/config"
	"github.com/amaranthswitch/amaranthswitch/fleet/document"
	"github.com/amaranthswitch/amaranthswitch/fleet/membership"
	"github.com/amaranthswitch/amaranthswitch/fleet/steering"
	"github.com/amaranthswitch/amaranthswitch/fleet/tally"
)

// Settings are the settings of one daemon.
type Settings struct {
	VM     config.VMID       `json:"vm"`
	Domain config.DomainName `json:"domain"`
	Region config.RegionName `json:"region"`

	// Tunnel is the address that receives packets from the fabric and sends
	// them to upstreams.
	Tunnel netip.AddrPort `json:"tunnel"`
	// Peer is the UDP address for datagrams of other VMs.
	Peer netip.AddrPort `json:"peer"`
	// RPC is the TCP address that serves RPCs of other VMs and of operators.
	RPC netip.AddrPort `json:"rpc"`
	// Gateway is the address that serves HTTP requests of callers.
	Gateway netip.AddrPort `json:"gateway"`
	// Operator is the address that serves metrics, status and readiness.
	Operator netip.AddrPort `json:"operator"`

	// Platform lists the base URLs of the configuration service.
	Platform []string `json:"platform"`
	// FabricReply is the address to which TCP resets for callers are sent. These
	// are the only packets that the daemon sends to callers.
	FabricReply netip.AddrPort `json:"fabricReply"`
	// Seeds are the VMs to contact if the platform does not answer at startup.
	Seeds []membership.VM `json:"seeds,omitempty"`

	// Workers is the number of sockets that read the tunnel address.
	Workers int `json:"workers"`
	// SocketBufferBytes is the size of each UDP socket's buffers.
	SocketBufferBytes int `json:"socketBufferBytes"`
	// Seed is the seed of the random number generators.
	Seed uint64 `json:"seed"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `json:"logLevel"`
	// TraceShare is the fraction of flows and requests that are traced, 0 to 1.
	TraceShare float64 `json:"traceShare"`
	// TraceFile is the file to which finished spans are written as lines of
	// JSON; "-" is standard output, and an empty name turns tracing off.
	TraceFile string `json:"traceFile,omitempty"`

	Timers   Timers            `json:"timers"`
	Members  membership.Timers `json:"membership"`
	Steering steering.Limits   `json:"steering"`
	Tally    tally.Options     `json:"tally"`

	// Baseline replaces the placement algorithm, for comparisons, with
	// "tableOnly" or "random", both without homes. Empty keeps the algorithm.
	Baseline string `json:"baseline,omitempty"`
}

// Timers holds the daemon's own timers.
type Timers struct {
	// TickMillis is the period of the control loop.
	TickMillis clock.Millis `json:"tickMillis"`
	// GatherMillis is how long membership changes are collected before they are
	// applied together.
	GatherMillis clock.Millis `json:"gatherMillis"`
	// PauseMillis is the time since the last tick above which the process counts
	// as having been suspended.
	PauseMillis clock.Millis `json:"pauseMillis"`
	// ResyncMillis is the maximum wait for other VMs after a process pause.
	ResyncMillis clock.Millis `json:"resyncMillis"`
	// PatienceMillis is how long a starting daemon waits to learn the active
	// configuration from other VMs.
	PatienceMillis clock.Millis `json:"patienceMillis"`
	// WatchMillis is the maximum duration of a blocking query to the platform.
	WatchMillis clock.Millis `json:"watchMillis"`
	// WatchRetryMillis is the delay after a failed query.
	WatchRetryMillis clock.Millis `json:"watchRetryMillis"`
	// CallMillis is the timeout of an RPC to another VM.
	CallMillis clock.Millis `json:"callMillis"`
	// LeaveMillis is how long a stopping daemon keeps forwarding.
	LeaveMillis clock.Millis `json:"leaveMillis"`
	// DrainMillis is how long a stopping daemon waits for requests in flight.
	DrainMillis clock.Millis `json:"drainMillis"`
	// HealthMillis is the period of health probes.
	HealthMillis clock.Millis `json:"healthMillis"`
	// ClaimMillis is the timeout of an RPC about an idempotency key or a slot.
	ClaimMillis clock.Millis `json:"claimMillis"`
	// SlotLeaseMillis is how long a slot lease lasts unless it is renewed.
	SlotLeaseMillis clock.Millis `json:"slotLeaseMillis"`
}

// Default returns the default settings, which lack an identity and addresses.
func Default() Settings {
	return Settings{
		Workers:           2,
		SocketBufferBytes: 4 << 20,
		Seed:              1,
		LogLevel:          "info",
		Timers: Timers{
			TickMillis:       50,
			GatherMillis:     200,
			PauseMillis:      1000,
			ResyncMillis:     1500,
			PatienceMillis:   2000,
			WatchMillis:      30 * clock.Second,
			WatchRetryMillis: 500,
			CallMillis:       1000,
			LeaveMillis:      3000,
			DrainMillis:      15 * clock.Second,
			HealthMillis:     1000,
			ClaimMillis:      500,
			SlotLeaseMillis:  2000,
		},
		Members:  membership.DefaultTimers(),
		Steering: steering.DefaultLimits(),
		Tally:    tally.DefaultOptions(),
	}
}

// Load reads the settings file at path. Fields that it omits keep their defaults.
func Load(path string) (s Settings, err error) {
	defer func() { err = eris.Wrapf(err, "settings: %s", path) }()
	data, err := os.ReadFile(path)
	if err != nil {
		return s, err
	}
	return Parse(data)
}

// Parse decodes and checks settings in JSON. Fields that are omitted keep their
// defaults; unknown fields are an error.
func Parse(data []byte) (s Settings, err error) {
	s = Default()
	if err = document.DecodeKnown(data, &s); err != nil {
		return s, err
	}
	return s, s.Check()
}

// maxIDBytes is the maximum length of a VM identifier in bytes.
const maxIDBytes = 63

// Check returns an error that names the first field with an unusable value.
func (s *Settings) Check() error {
	if s.VM == "" || len(s.VM) > maxIDBytes {
		return fmt.Errorf("field vm: %q must have 1 to %d characters", s.VM, maxIDBytes)
	}
	if s.Domain == "" {
		return fmt.Errorf("field domain: is missing")
	}
	for _, a := range []struct {
		field string
		value netip.AddrPort
	}{{"tunnel", s.Tunnel}, {"peer", s.Peer}, {"rpc", s.RPC}, {"gateway", s.Gateway}, {"operator", s.Operator}} {
		if !a.value.IsValid() || a.value.Port() == 0 {
			return fmt.Errorf("field %s: needs an IP address and port", a.field)
		}
	}
	if len(s.Platform) == 0 && len(s.Seeds) == 0 {
		return fmt.Errorf("field platform: needs a URL, unless seeds are given")
	}
	for i, base := range s.Platform {
		if u, err := url.Parse(base); err != nil || u.Host == "" {
			return fmt.Errorf("field platform[%d]: %q is not a URL", i, base)
		}
	}
	if s.Workers < 1 {
		return fmt.Errorf("field workers: %d is below 1", s.Workers)
	}
	switch s.Baseline {
	case "", "tableOnly", "random":
	default:
		return fmt.Errorf("field baseline: %q is neither tableOnly nor random", s.Baseline)
	}
	return s.Timers.check()
}

func (t *Timers) check() error {
	for _, f := range []struct {
		field string
		value clock.Millis
	}{
		{"tickMillis", t.TickMillis},
		{"pauseMillis", t.PauseMillis},
		{"watchMillis", t.WatchMillis},
		{"watchRetryMillis", t.WatchRetryMillis},
		{"callMillis", t.CallMillis},
		{"healthMillis", t.HealthMillis},
		{"claimMillis", t.ClaimMillis},
		{"slotLeaseMillis", t.SlotLeaseMillis},
	} {
		if f.value <= 0 {
			return fmt.Errorf("field timers.%s: %d is not positive", f.field, f.value)
		}
	}
	if t.PauseMillis < 2*t.TickMillis {
		return fmt.Errorf("field timers.pauseMillis: %d is below two ticks", t.PauseMillis)
	}
	return nil
}

// VMRecord returns the daemon's own entry of the platform's VM list.
func (s *Settings) VMRecord() membership.VM {
	return membership.VM{
		ID: s.VM, Domain: s.Domain, Region: s.Region,
		Tunnel: s.Tunnel, Peer: s.Peer, RPC: s.RPC, Gateway: s.Gateway,
	}
}
