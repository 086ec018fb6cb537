package capacity

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"time"

	"github.com/google/uuid"

	"github.com/amaranthswitch/amaranthswitch/amaranthd/vm"
	"github.com/amaranthswitch/amaranthswitch/fleet/claim"
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/config"
	"github.com/amaranthswitch/amaranthswitch/fleet/configfile"
	"github.com/amaranthswitch/amaranthswitch/fleet/flow"
	"github.com/amaranthswitch/amaranthswitch/fleet/homes"
	"github.com/amaranthswitch/amaranthswitch/fleet/membership"
	"github.com/amaranthswitch/amaranthswitch/fleet/packet"
	"github.com/amaranthswitch/amaranthswitch/fleet/slot"
	"github.com/amaranthswitch/amaranthswitch/fleet/steering"
	"github.com/amaranthswitch/amaranthswitch/fleet/tally"
	"github.com/amaranthswitch/amaranthswitch/fleet/wire"
)

// Row is one measurement: the values of a quantity at increasing sizes.
type Row struct {
	Role     string    `json:"role"`
	Quantity string    `json:"quantity"`
	Unit     string    `json:"unit"`
	ScaledBy string    `json:"of"` // what the sizes count
	Sizes    []int     `json:"sizes"`
	Values   []float64 `json:"values"`
}

const (
	domainCount      = 8
	datagramOverhead = 28 // bytes of IPv4 and UDP headers
	measuredSeconds  = 20
	vni              = 7
)

// heapInUse returns the heap bytes in use after garbage collection.
func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// configWith returns a configuration with the given number of upstreams, 13 per
// service.
func configWith(upstreams int) *config.File {
	f := &config.File{Version: 1}
	for d := range domainCount {
		f.Domains = append(f.Domains, config.Domain{
			Name: config.DomainName(fmt.Sprintf("d%d", d)), Region: config.RegionName(fmt.Sprintf("r%d", d/4)), State: config.DomainIn,
		})
	}
	const perService = 13
	for n := 0; n < upstreams; n += perService {
		s := config.Service{
			Name: config.ServiceName(fmt.Sprintf("s%d", n/perService)), VNI: config.VNI(vni + n/perService),
			Address: netip.AddrFrom4([4]byte{198, 51, byte(n / perService >> 8), byte(n / perService)}),
			Kinds:   []config.Kind{config.KindFlow},
			WarmUp:  config.WarmUp{DurationMillis: 30000, InitialPerSecond: 5, FullPerSecond: 100},
		}
		for i := n; i < min(n+perService, upstreams); i++ {
			s.Upstreams = append(s.Upstreams, config.Upstream{
				Name: config.UpstreamName(fmt.Sprintf("u%d", i)), Domain: f.Domains[i%domainCount].Name,
				Address: fmt.Sprintf("10.%d.%d.%d:6081", 64+i%domainCount, i>>8, i&255), State: config.UpstreamActive, Connections: 2000,
			})
		}
		f.Services = append(f.Services, s)
	}
	return f
}

// MeasureFlows measures the memory of the flow table and the time per packet by
// the number of open flows.
func MeasureFlows() []Row {
	memory := Row{Role: "home and ingress", Quantity: "memory of the flow table", Unit: "MB", ScaledBy: "flows"}
	packets := Row{Role: "home and ingress", Quantity: "steering a packet", Unit: "ns", ScaledBy: "flows"}
	tick := Row{Role: "home", Quantity: "scanning the flow table", Unit: "% of a core", ScaledBy: "flows"}
	for _, n := range []int{10_000, 100_000, 300_000} {
		before := heapInUse()
		e := steering.New(0, "vm")
		f := configWith(14)
		e.SetConfig(0, f)
		p := make([]steering.Packet, 1)
		rng := rand.New(rand.NewPCG(1, 1))
		ids := make([]flow.ID, n)
		p[0].Info = packet.Info{VNI: vni, TCP: true, Src: netip.MustParseAddrPort("198.18.0.1:1"), Dst: netip.AddrPortFrom(f.Services[0].Address, 443)}
		for i := range ids {
			ids[i] = flow.ID{Hi: rng.Uint64(), Lo: rng.Uint64()}
			p[0].ID, p[0].Flags = ids[i], packet.SYN
			e.Handle(10_000, &p[0])
			p[0].Flags = packet.ACK
			e.Handle(10_000, &p[0])
		}
		memory.add(n, float64(heapInUse()-before)/(1<<20)-float64(16*n)/(1<<20))
		packets.add(n, meanCallNanos(200_000, func(i int) {
			p[0].ID = ids[(i*7919)%n]
			e.Handle(10_000, &p[0])
		}))
		now := clock.Millis(10_000)
		perTick := meanCallNanos(64, func(int) {
			now += 100
			e.Tick(now)
		})
		tick.add(n, perTick/1e9*10*100)
		runtime.KeepAlive(ids)
	}
	return []Row{memory, packets, tick}
}

func (r *Row) add(size int, value float64) {
	r.Sizes = append(r.Sizes, size)
	r.Values = append(r.Values, value)
}

// meanCallNanos returns the mean duration of n calls of f in nanoseconds.
func meanCallNanos(n int, f func(i int)) float64 {
	begin := time.Now()
	for i := range n {
		f(i)
	}
	return float64(time.Since(begin).Nanoseconds()) / float64(n)
}

// MeasureMembership measures failure detection by the number of VMs: the bytes
// that a VM sends and the CPU time that it takes.
func MeasureMembership() []Row {
	bytes := Row{Role: "every VM", Quantity: "probes sent", Unit: "B/s", ScaledBy: "VMs"}
	cpu := Row{Role: "every VM", Quantity: "probes", Unit: "% of a core", ScaledBy: "VMs"}
	ring := Row{Role: "every VM", Quantity: "a change of the ring", Unit: "ms", ScaledBy: "VMs"}
	for _, n := range []int{9, 27, 81, 243} {
		sent, spent := probeCost(n)
		bytes.add(n, sent)
		cpu.add(n, spent)
		vms := make([]homes.VM, n)
		for i := range vms {
			vms[i] = homes.VM{ID: config.VMID(fmt.Sprintf("vm-%d", i)), Domain: config.DomainName(fmt.Sprint(i % domainCount))}
		}
		view := homes.NewView(0, vms)
		ring.add(n, meanCallNanos(5, func(int) { view.WithVMs(1, vms[1:]) })/1e6)
	}
	return []Row{bytes, cpu, ring}
}

// probeCost runs n VMs that probe each other and returns the bytes per second
// that each sends and its share of a core in percent, encoding and decoding
// included.
func probeCost(n int) (bytesPerSecond, cpuPercent float64) {
	vmList := make([]membership.VM, n)
	lists := make(map[config.VMID]*membership.List, n)
	for i := range vmList {
		vmList[i] = membership.VM{ID: config.VMID(fmt.Sprintf("domain-%d-vm-%d", i%domainCount, i)), Domain: config.DomainName(fmt.Sprint(i % domainCount))}
	}
	now := clock.Millis(1_000_000)
	for _, listed := range vmList {
		l := membership.New(now, listed, membership.DefaultTimers(), 1)
		l.SetListedVMs(now, vmList)
		l.SetHome(true)
		lists[listed.ID] = l
	}
	total := 0
	var carry func(out []membership.Envelope)
	carry = func(out []membership.Envelope) {
		for _, s := range out {
			data, err := wire.Encode(wire.Membership, s.Msg)
			if err != nil {
				panic(err) // The type is always encodable.
			}
			total += len(data) + datagramOverhead
			var msg membership.Message
			if err := wire.Decode(data, &msg); err != nil {
				panic(err)
			}
			replies, _ := lists[s.To.ID].Receive(now, msg)
			carry(replies)
		}
	}
	step := func() {
		for _, listed := range vmList {
			carry(lists[listed.ID].Tick(now))
		}
		now += 50
	}
	for range 20 * measuredSeconds { // until membership has converged
		step()
	}
	total = 0
	begin := time.Now()
	for range 20 * measuredSeconds {
		step()
	}
	spent := time.Since(begin).Seconds() / float64(n) / measuredSeconds * 100
	return float64(total) / float64(n) / measuredSeconds, spent
}

// MeasureConfig measures the size and the cost of configurations by the number
// of upstreams.
func MeasureConfig() (rows []Row, err error) {
	size := Row{Role: "every VM", Quantity: "size of a file", Unit: "KB", ScaledBy: "upstreams"}
	frame := Row{Role: "control relay", Quantity: "a change of one field on the wire", Unit: "B", ScaledBy: "upstreams"}
	whole := Row{Role: "control relay", Quantity: "a whole file on the wire", Unit: "KB", ScaledBy: "upstreams"}
	cpu := Row{Role: "every VM", Quantity: "taking a file", Unit: "ms", ScaledBy: "upstreams"}
	memory := Row{Role: "every VM", Quantity: "memory of the configuration and 8 past tables", Unit: "MB", ScaledBy: "upstreams"}
	for _, n := range []int{14, 200, 1000, 3300} {
		old, body, err := roundTrip(configWith(n))
		if err != nil {
			return nil, err
		}
		changed := configWith(n)
		changed.Version, changed.Services[0].Upstreams[0].State = 2, config.UpstreamDrain
		_, next, err := roundTrip(changed)
		if err != nil {
			return nil, err
		}
		delta, err := vm.Compress(next, body)
		if err != nil {
			return nil, err
		}
		full, err := vm.Compress(next, nil)
		if err != nil {
			return nil, err
		}
		size.add(n, float64(len(body))/1024)
		frame.add(n, float64(len(delta)))
		whole.add(n, float64(len(full))/1024)
		before := heapInUse()
		e := steering.New(0, "vm")
		e.SetConfig(0, old)
		cpu.add(n, meanCallNanos(3, func(i int) {
			f, err := configfile.Parse(next)
			if err != nil {
				panic(err) // It parsed before.
			}
			f.Version = config.Version(10 + i)
			e.SetConfig(0, f)
		})/1e6)
		for i := range 8 {
			for s := range old.Services {
				old.Services[s].Upstreams[i%min(2, len(old.Services[s].Upstreams))].State = []config.UpstreamState{config.UpstreamDrain, config.UpstreamActive}[i/2%2]
			}
			e.SetConfig(clock.Millis(i), old)
		}
		memory.add(n, float64(heapInUse()-before)/(1<<20))
		runtime.KeepAlive(e)
	}
	return []Row{size, whole, frame, cpu, memory}, nil
}

// MeasureTally measures the exchange of flow counts by the number of upstreams
// that have flows.
func MeasureTally() []Row {
	report := Row{Role: "relay", Quantity: "a sum over all VMs on the wire", Unit: "B", ScaledBy: "upstreams with flows"}
	for _, n := range []int{14, 200, 1000, 3300} {
		r := tally.Report{Level: tally.LevelGlobal, From: "domain-1-vm-1", Domain: "d1", Version: 1 << 20}
		for range n {
			r.Gaps = append(r.Gaps, 1)
			r.Counts = append(r.Counts, 1180)
		}
		data, err := wire.Encode(wire.Tally, r)
		if err != nil {
			panic(err) // The type is always encodable.
		}
		report.add(n, float64(len(data)+datagramOverhead))
	}
	return []Row{report}
}

// MeasureClaims measures the memory and the time per claim of a witness
// (package claim) by the number of idempotency keys.
func MeasureClaims() []Row {
	memory := Row{Role: "claim holder", Quantity: "memory of the keys", Unit: "MB", ScaledBy: "keys"}
	cpu := Row{Role: "claim holder", Quantity: "a claim", Unit: "ns", ScaledBy: "keys"}
	for _, n := range []int{1000, 10_000, 100_000} {
		before := heapInUse()
		t := claim.NewTable(0)
		now := clock.Millis(time.Now().UnixMilli())
		cpu.add(n, meanCallNanos(n, func(int) {
			k := claim.Key(uuid.Must(uuid.NewV7()))
			t.Claim(now, 0, claim.Record{Key: k, Attempt: claim.NewAttemptID(), Gateway: "domain-1-vm-1", Digest: "0123456789abcdef"})
		}))
		memory.add(n, float64(heapInUse()-before)/(1<<20))
		runtime.KeepAlive(t)
	}
	return []Row{memory, cpu}
}

// MeasureSlots measures a slot manager by the number of slots in use.
func MeasureSlots() []Row {
	cpu := Row{Role: "slot holder", Quantity: "a lease, queued, granted and released", Unit: "ns", ScaledBy: "slots"}
	for _, n := range []int{56, 560, 5600} {
		m := slot.NewManager(slot.Limits{LeaseMillis: 2000, QueueMillis: 5000, QueuePerSlot: 50}, 0)
		m.SetUpstreams([]slot.UpstreamSlots{{ID: 1, Slots: n}})
		ids := make([]slot.LeaseID, 2*n)
		for i := range ids {
			ids[i] = slot.LeaseID(fmt.Sprint(i))
		}
		cpu.add(n, meanCallNanos(2*n, func(i int) {
			m.Acquire(1, slot.Request{ID: ids[i], Holder: "vm", Owner: config.Owner(fmt.Sprint(i % 3)), Deadline: 4000})
			if i >= n {
				m.Release(1, ids[i-n])
				m.Tick(1)
			}
		}))
	}
	return []Row{cpu}
}
