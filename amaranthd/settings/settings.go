package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
	"net/url"
	"os"

	"github.com/rotisserie/eris"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/config"
	"github.com/amaranthswitch/amaranthswitch/fleet/membership"
	"github.com/amaranthswitch/amaranthswitch/fleet/steering"
	"github.com/amaranthswitch/amaranthswitch/fleet/tally"
)

// Settings configure one daemon.
type Settings struct {
	VM     config.VMID       `json:"vm"`
	Domain config.DomainName `json:"domain"`
	Region config.RegionName `json:"region"`

	// Tunnel receives packets of the fabric and sends to upstreams.
	Tunnel netip.AddrPort `json:"tunnel"`
	// Peer exchanges datagrams with other VMs.
	Peer netip.AddrPort `json:"peer"`
	// RPC serves calls of other VMs and of operators.
	RPC netip.AddrPort `json:"rpc"`
	// Gateway serves HTTP requests of callers.
	Gateway netip.AddrPort `json:"gateway"`
	// Operator serves metrics.
	Operator netip.AddrPort `json:"operator"`

	// Platform lists the base URLs of the configuration service.
	Platform []string `json:"platform"`
	// FabricReply takes packets to callers, which are only TCP resets.
	FabricReply netip.AddrPort `json:"fabricReply"`
	// Seeds are VMs to ask when the platform does not answer at the start.
	Seeds []membership.VM `json:"seeds,omitempty"`

	// Workers is the number of sockets that read the tunnel address.
	Workers int `json:"workers"`
	// SocketBufferBytes is the size of each UDP socket's buffers.
	SocketBufferBytes int `json:"socketBufferBytes"`
	// Seed seeds random choices.
	Seed uint64 `json:"seed"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `json:"logLevel"`
	// TraceShare is the share of packets and requests that are traced.
	TraceShare float64 `json:"traceShare"`
	// TraceFile receives finished spans as lines of JSON; "-" is standard
	// output, empty is off.
	TraceFile string `json:"traceFile,omitempty"`

	Timers   Timers            `json:"timers"`
	Members  membership.Timers `json:"membership"`
	Steering steering.Limits   `json:"steering"`
	Tally    tally.Options     `json:"tally"`

	// Baseline replaces placement for comparisons: "", "tableOnly" or
	// "random", both without homes.
	Baseline string `json:"baseline,omitempty"`
}

// Timers holds the daemon's own timers.
type Timers struct {
	// TickMillis is the period of the control loop.
	TickMillis clock.Millis `json:"tickMillis"`
	// GatherMillis is the time in which changes of the membership are gathered
	// before they are acted on together.
	GatherMillis clock.Millis `json:"gatherMillis"`
	// PauseMillis is the gap between ticks that means the process stood still.
	PauseMillis clock.Millis `json:"pauseMillis"`
	// ResyncMillis bounds the wait for others after a pause.
	ResyncMillis clock.Millis `json:"resyncMillis"`
	// PatienceMillis is how long a starting daemon waits for others to tell
	// which configuration is in force.
	PatienceMillis clock.Millis `json:"patienceMillis"`
	// WatchMillis is the length of a blocking query.
	WatchMillis clock.Millis `json:"watchMillis"`
	// WatchRetryMillis is the wait after a failed query.
	WatchRetryMillis clock.Millis `json:"watchRetryMillis"`
	// CallMillis bounds a call to another VM.
	CallMillis clock.Millis `json:"callMillis"`
	// LeaveMillis is how long a stopping daemon goes on forwarding.
	LeaveMillis clock.Millis `json:"leaveMillis"`
	// DrainMillis bounds the wait of a stopping daemon for the requests under
	// way.
	DrainMillis clock.Millis `json:"drainMillis"`
	// HealthMillis is the period of health probes.
	HealthMillis clock.Millis `json:"healthMillis"`
	// ClaimMillis bounds a call about an idempotency key or a slot.
	ClaimMillis clock.Millis `json:"claimMillis"`
	// SlotLeaseMillis is the life of a slot lease that is not renewed.
	SlotLeaseMillis clock.Millis `json:"slotLeaseMillis"`
}

// Default returns settings without identity and addresses.
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

// Load reads the file at path over the defaults.
func Load(path string) (s Settings, err error) {
	defer func() { err = eris.Wrapf(err, "settings: %s", path) }()
	data, err := os.ReadFile(path)
	if err != nil {
		return s, err
	}
	return Parse(data)
}

// Parse decodes settings over the defaults and checks them.
func Parse(data []byte) (s Settings, err error) {
	s = Default()
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err = dec.Decode(&s); err != nil {
		return s, err
	}
	return s, s.Check()
}

const maxIDBytes = 63

// Check returns an error that names the first field with an unusable value.
func (s *Settings) Check() error {
	if s.VM == "" || len(s.VM) > maxIDBytes {
		return fmt.Errorf("field vm: %q has not 1 to %d characters", s.VM, maxIDBytes)
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

// Line returns the daemon's line of the platform's list.
func (s *Settings) Line() membership.VM {
	return membership.VM{
		ID: s.VM, Domain: s.Domain, Region: s.Region,
		Tunnel: s.Tunnel, Peer: s.Peer, RPC: s.RPC, Gateway: s.Gateway,
	}
}
