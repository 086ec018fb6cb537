package site

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/amaranthswitch/amaranthswitch/fleet/config"
	"github.com/amaranthswitch/amaranthswitch/fleet/configfile"
	"github.com/amaranthswitch/amaranthswitch/fleet/membership"
	"github.com/amaranthswitch/amaranthswitch/standin/caller"
	"github.com/amaranthswitch/amaranthswitch/standin/fabric"
	"github.com/amaranthswitch/amaranthswitch/standin/fault"
	"github.com/amaranthswitch/amaranthswitch/standin/platform"
	"github.com/amaranthswitch/amaranthswitch/standin/upstream"
)

// Ports of the daemons, the same on each VM.
const (
	tunnelPort   = 6081
	peerPort     = 7946
	rpcPort      = 7947
	gatewayPort  = 8080
	operatorPort = 9090
)

// Process is a running daemon.
type Process struct {
	// Stop ends the daemon as planned and waits for it.
	Stop func()
	// Kill ends it at once.
	Kill func()
	// Suspend stops its execution, and Resume resumes it. They are nil where
	// the launcher cannot do that.
	Suspend, Resume func()
	// PID is the process, or zero for a daemon within this process.
	PID int
}

// Launcher starts a daemon with the given settings file content.
type Launcher func(ctx context.Context, settings []byte) (*Process, error)

// VM is one entry VM of a site.
type VM struct {
	membership.VM
	// Bind are the addresses that the daemon opens; the embedded ones are
	// what others are told, which differ behind a proxy.
	Bind    membership.VM
	Process *Process
	Proxy   *fault.VMProxy
}

// Site is a running deployment.
type Site struct {
	Config    *config.File
	Platform  *platform.Server
	Fabric    *fabric.Fabric
	Flows     *caller.FlowDriver
	Endpoints map[config.UpstreamName]*upstream.Endpoint
	Servers   map[config.UpstreamName]*upstream.Server
	VMs       []*VM

	opts     options
	launch   Launcher
	ctx      context.Context
	cleanups []func()
}

type options struct {
	network   int
	perDomain int
	seed      uint64
	proxied   bool
	settings  map[string]any
	service   time.Duration
}

// Option configures a Site.
type Option func(*options)

// WithNetwork sets the second octet of all addresses, 1 to 254.
func WithNetwork(n int) Option { return func(o *options) { o.network = n } }

// WithSeed seeds the fabric, the callers, the proxies and the daemons.
func WithSeed(seed uint64) Option { return func(o *options) { o.seed = seed } }

// WithProxies puts a proxy that injects faults before every VM.
func WithProxies() Option { return func(o *options) { o.proxied = true } }

// WithSettings adds fields to the settings file of every daemon.
func WithSettings(fields map[string]any) Option { return func(o *options) { o.settings = fields } }

// WithServiceTime sets how long a back end works on a request.
func WithServiceTime(d time.Duration) Option { return func(o *options) { o.service = d } }

var exampleAddress = regexp.MustCompile(`"10\.(\d+)\.2\.(\d+):`)

// UseLoopback moves the back ends of an example file to the loopback network.
func UseLoopback(body []byte, network int) []byte {
	return exampleAddress.ReplaceAll(body, fmt.Appendf(nil, `"127.%d.$1.$2:`, network))
}

// New starts all but the daemons. The cleanup stops everything.
func New(ctx context.Context, example []byte, launch Launcher, opts ...Option) (s *Site, cleanup func(), err error) {
	defer func() { err = eris.Wrap(err, "site: new") }()
	s = &Site{
		launch: launch, opts: options{network: 9, perDomain: 3, seed: 1, service: 20 * time.Millisecond},
		Endpoints: make(map[config.UpstreamName]*upstream.Endpoint),
		Servers:   make(map[config.UpstreamName]*upstream.Server),
	}
	for _, opt := range opts {
		opt(&s.opts)
	}
	var cancel context.CancelFunc
	s.ctx, cancel = context.WithCancel(ctx)
	s.add(cancel)
	body := UseLoopback(example, s.opts.network)
	if s.Config, err = configfile.Parse(body); err != nil {
		s.close()
		return nil, nil, err
	}
	if err = s.startSurroundings(); err != nil {
		s.close()
		return nil, nil, err
	}
	s.Platform.Publish(platform.ConfigKey, body)
	s.planVMs()
	s.PublishVMs()
	return s, s.close, nil
}

func (s *Site) add(f func()) { s.cleanups = append(s.cleanups, f) }

func (s *Site) close() {
	for _, vm := range s.VMs {
		if vm.Process != nil {
			vm.Process.Kill()
		}
	}
	for _, f := range slices.Backward(s.cleanups) {
		f()
	}
}

// Address returns an address within the site's network.
func (s *Site) Address(third, fourth, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", s.opts.network, third, fourth, port)
}

func (s *Site) startSurroundings() (err error) {
	var stop func()
	if s.Platform, stop, err = platform.Start(s.ctx, s.Address(1, 1, 8500)); err != nil {
		return err
	}
	s.add(stop)
	if s.Fabric, stop, err = fabric.New(s.Address(1, 3, 0), s.opts.seed); err != nil {
		return err
	}
	s.add(stop)
	if s.Flows, stop, err = caller.NewFlowDriver(s.ctx, s.Address(1, 2, tunnelPort), s.Fabric.Send, s.opts.seed); err != nil {
		return err
	}
	s.add(stop)
	for i := range s.Config.Services {
		sv := &s.Config.Services[i]
		for _, u := range sv.Upstreams {
			if err = s.StartUpstream(sv, u); err != nil {
				return err
			}
		}
	}
	return nil
}

// StartUpstream starts a back end.
func (s *Site) StartUpstream(sv *config.Service, u config.Upstream) (err error) {
	e, stop, err := upstream.StartEndpoint(s.ctx, u.Name, sv.VNI, u.Address, s.Flows.ReplyAddress())
	if err != nil {
		return err
	}
	s.add(stop)
	s.Endpoints[u.Name] = e
	if u.HTTPAddress == "" {
		return nil
	}
	h, stop, err := upstream.StartServer(s.ctx, u.Name, u.HTTPAddress, upstream.WithSlots(u.Slots), upstream.WithServiceTime(s.opts.service))
	if err != nil {
		return err
	}
	s.add(stop)
	s.Servers[u.Name] = h
	return nil
}

const (
	vmOctet    = 100
	proxyOctet = 150
)

// planVMs assigns every VM its addresses.
func (s *Site) planVMs() {
	for d, dom := range s.Config.Domains {
		for i := range s.opts.perDomain {
			line := membership.VM{ID: config.VMID(fmt.Sprintf("%s-%d", dom.Name, i+1)), Domain: dom.Name, Region: dom.Region}
			at := func(octet, port int) netip.AddrPort {
				return netip.MustParseAddrPort(s.Address(octet+d, i+1, port))
			}
			line.Tunnel, line.Peer, line.RPC = at(vmOctet, tunnelPort), at(vmOctet, peerPort), at(vmOctet, rpcPort)
			line.Gateway = at(vmOctet, gatewayPort)
			vm := &VM{VM: line, Bind: line}
			if s.opts.proxied {
				vm.Peer, vm.RPC = at(proxyOctet, peerPort), at(proxyOctet, rpcPort)
			}
			s.VMs = append(s.VMs, vm)
		}
	}
}

// PublishVMs publishes the list of VMs.
func (s *Site) PublishVMs() {
	lines := make([]membership.VM, len(s.VMs))
	for i, vm := range s.VMs {
		lines[i] = vm.VM
	}
	if err := s.Platform.PublishJSON(platform.VMsKey, lines); err != nil {
		panic(err) // The type is always encodable.
	}
}

// Publish edits the configuration, raises its version and publishes it.
func (s *Site) Publish(edit func(f *config.File)) (err error) {
	edit(s.Config)
	s.Config.Version++
	return s.Platform.PublishJSON(platform.ConfigKey, s.Config)
}

// StartAll starts the daemons of all VMs and points the fabric at them.
func (s *Site) StartAll() (err error) {
	for _, vm := range s.VMs {
		if err = s.Start(vm); err != nil {
			return err
		}
	}
	s.RouteToRunning()
	return nil
}

// Start starts a VM's daemon.
func (s *Site) Start(vm *VM) (err error) {
	defer func() { err = eris.Wrapf(err, "site: start %s", vm.ID) }()
	if s.opts.proxied && vm.Proxy == nil {
		p, stop, err := fault.NewVMProxy(s.ctx, vm.VM, vm.Bind, s.opts.seed)
		if err != nil {
			return err
		}
		s.add(stop)
		vm.Proxy = p
	}
	data, err := json.MarshalIndent(s.settings(vm), "", "  ")
	if err != nil {
		return err
	}
	vm.Process, err = s.launch(s.ctx, data)
	return err
}

// settings returns the content of a VM's settings file.
func (s *Site) settings(vm *VM) map[string]any {
	m := map[string]any{
		"vm": vm.ID, "domain": vm.Domain, "region": vm.Region,
		"tunnel": vm.Bind.Tunnel, "peer": vm.Bind.Peer, "rpc": vm.Bind.RPC, "gateway": vm.Bind.Gateway,
		"operator":    netip.AddrPortFrom(vm.Bind.RPC.Addr(), operatorPort),
		"platform":    []string{s.Platform.URL()},
		"fabricReply": s.Flows.ReplyAddress(),
		"seed":        s.opts.seed,
	}
	for k, v := range s.opts.settings {
		m[k] = v
	}
	return m
}

// RouteToRunning points the fabric at all running VMs but the given ones.
func (s *Site) RouteToRunning(except ...*VM) {
	var targets []netip.AddrPort
	for _, vm := range s.VMs {
		if vm.Process != nil && !slices.Contains(except, vm) {
			targets = append(targets, vm.Tunnel)
		}
	}
	s.Fabric.SetTargets(targets)
}

// Stop ends a VM's daemon as planned; the fabric learns of it at once and the
// daemon forwards what is still on its way.
func (s *Site) Stop(vm *VM) {
	s.RouteToRunning(vm)
	vm.Process.Stop()
	vm.Process = nil
}

// Kill ends a VM's daemon at once. The fabric goes on sending to it.
func (s *Site) Kill(vm *VM) {
	vm.Process.Kill()
	vm.Process = nil
}

// Gateways lists the gateways of the running VMs.
func (s *Site) Gateways() (list []netip.AddrPort) {
	for _, vm := range s.VMs {
		if vm.Process != nil {
			list = append(list, vm.Gateway)
		}
	}
	return list
}

// Runs returns what all back ends ran.
func (s *Site) Runs() (list []upstream.Run) {
	for _, h := range s.Servers {
		list = append(list, h.Runs()...)
	}
	return list
}

// DomainVMs returns the VMs of a failure domain.
func (s *Site) DomainVMs(name config.DomainName) (list []*VM) {
	for _, vm := range s.VMs {
		if vm.Domain == name {
			list = append(list, vm)
		}
	}
	return list
}

// SetPathRule sets what passes between the VMs of two failure domains, in both
// directions.
func (s *Site) SetPathRule(a, b config.DomainName, rule fault.Rule) {
	for _, from := range s.DomainVMs(a) {
		for _, to := range s.DomainVMs(b) {
			to.Proxy.SetRule(from.Bind.Peer.Addr(), rule)
			from.Proxy.SetRule(to.Bind.Peer.Addr(), rule)
		}
	}
}
