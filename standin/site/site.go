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

// Ports of the daemons on each VM.
const (
	tunnelPort   = 6081
	peerPort     = 7946
	rpcPort      = 7947
	gatewayPort  = 8080
	operatorPort = 9090
)

// Process is a running daemon.
type Process struct {
	// Stop shuts the daemon down gracefully and waits until it has ended.
	Stop func()
	// Kill ends the daemon immediately, without a shutdown.
	Kill func()
	// Suspend pauses the daemon's execution, and Resume continues it. They are nil if
	// the launcher doesn't support that.
	Suspend, Resume func()
	// PID is the process id, or zero for a daemon within this process.
	PID int
}

// Launcher starts a daemon with the given content of its settings file.
type Launcher func(ctx context.Context, settings []byte) (*Process, error)

// VM is an entry VM of a site.
type VM struct {
	membership.VM
	// Bind holds the addresses that the daemon listens on. The embedded ones are those
	// advertised to others, which differ behind a proxy.
	Bind    membership.VM
	Process *Process
	Proxy   *fault.VMProxy
}

// Site is a running deployment with its environment.
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
	octet       int
	perDomain   int
	seed        uint64
	withProxies bool
	settings    map[string]any
	serviceTime time.Duration
}

// Option configures a Site.
type Option func(*options)

// WithNetwork sets the second octet of all addresses, from 1 to 254.
func WithNetwork(n int) Option { return func(o *options) { o.octet = n } }

// WithSeed seeds the fabric, the callers, the proxies and the daemons.
func WithSeed(seed uint64) Option { return func(o *options) { o.seed = seed } }

// WithProxies puts a fault-injecting proxy in front of each VM.
func WithProxies() Option { return func(o *options) { o.withProxies = true } }

// WithSettings adds fields to the settings file of each daemon.
func WithSettings(fields map[string]any) Option { return func(o *options) { o.settings = fields } }

// WithServiceTime sets the service time of requests at the upstreams.
func WithServiceTime(d time.Duration) Option { return func(o *options) { o.serviceTime = d } }

var exampleAddress = regexp.MustCompile(`"10\.(\d+)\.2\.(\d+):`)

// UseLoopback replaces the upstream addresses of an example file by addresses in
// 127.N.0.0/16, where N is network.
func UseLoopback(body []byte, network int) []byte {
	return exampleAddress.ReplaceAll(body, fmt.Appendf(nil, `"127.%d.$1.$2:`, network))
}

// New starts the environment and publishes the example configuration and the list of
// VMs. StartAll starts the daemons. The cleanup stops everything, daemons included.
func New(ctx context.Context, example []byte, launch Launcher, opts ...Option) (s *Site, cleanup func(), err error) {
	defer func() { err = eris.Wrap(err, "site: new") }()
	s = &Site{
		launch: launch, opts: options{octet: 9, perDomain: 3, seed: 1, serviceTime: 20 * time.Millisecond},
		Endpoints: make(map[config.UpstreamName]*upstream.Endpoint),
		Servers:   make(map[config.UpstreamName]*upstream.Server),
	}
	for _, opt := range opts {
		opt(&s.opts)
	}
	var cancel context.CancelFunc
	s.ctx, cancel = context.WithCancel(ctx)
	s.addCleanup(cancel)
	body := UseLoopback(example, s.opts.octet)
	if s.Config, err = configfile.Parse(body); err != nil {
		s.close()
		return nil, nil, err
	}
	if err = s.startInfrastructure(); err != nil {
		s.close()
		return nil, nil, err
	}
	s.Platform.Publish(platform.ConfigKey, body)
	s.assignAddresses()
	s.PublishVMs()
	return s, s.close, nil
}

func (s *Site) addCleanup(f func()) { s.cleanups = append(s.cleanups, f) }

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

// Address returns an address in the site's network, as host and port.
func (s *Site) Address(third, fourth, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", s.opts.octet, third, fourth, port)
}

func (s *Site) startInfrastructure() (err error) {
	var stop func()
	if s.Platform, stop, err = platform.Start(s.ctx, s.Address(1, 1, 8500)); err != nil {
		return err
	}
	s.addCleanup(stop)
	if s.Fabric, stop, err = fabric.New(s.Address(1, 3, 0), s.opts.seed); err != nil {
		return err
	}
	s.addCleanup(stop)
	if s.Flows, stop, err = caller.NewFlowDriver(s.ctx, s.Address(1, 2, tunnelPort), s.Fabric.Send, s.opts.seed); err != nil {
		return err
	}
	s.addCleanup(stop)
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

// StartUpstream starts an upstream of a service, with an HTTP server if it has an HTTP
// address.
func (s *Site) StartUpstream(sv *config.Service, u config.Upstream) (err error) {
	e, stop, err := upstream.StartEndpoint(s.ctx, u.Name, sv.VNI, u.Address, s.Flows.ReplyAddress())
	if err != nil {
		return err
	}
	s.addCleanup(stop)
	s.Endpoints[u.Name] = e
	if u.HTTPAddress == "" {
		return nil
	}
	h, stop, err := upstream.StartServer(s.ctx, u.Name, u.HTTPAddress, upstream.WithSlots(u.Slots), upstream.WithServiceTime(s.opts.serviceTime))
	if err != nil {
		return err
	}
	s.addCleanup(stop)
	s.Servers[u.Name] = h
	return nil
}

// Third octets of the VM and proxy addresses in the first failure domain. Each further
// domain adds one.
const (
	vmOctet    = 100
	proxyOctet = 150
)

// assignAddresses creates the VMs of all failure domains with their addresses.
func (s *Site) assignAddresses() {
	for d, dom := range s.Config.Domains {
		for i := range s.opts.perDomain {
			entry := membership.VM{ID: config.VMID(fmt.Sprintf("%s-%d", dom.Name, i+1)), Domain: dom.Name, Region: dom.Region}
			at := func(octet, port int) netip.AddrPort {
				return netip.MustParseAddrPort(s.Address(octet+d, i+1, port))
			}
			entry.Tunnel, entry.Peer, entry.RPC = at(vmOctet, tunnelPort), at(vmOctet, peerPort), at(vmOctet, rpcPort)
			entry.Gateway = at(vmOctet, gatewayPort)
			vm := &VM{VM: entry, Bind: entry}
			if s.opts.withProxies {
				vm.Peer, vm.RPC = at(proxyOctet, peerPort), at(proxyOctet, rpcPort)
			}
			s.VMs = append(s.VMs, vm)
		}
	}
}

// PublishVMs publishes the list of VMs.
func (s *Site) PublishVMs() {
	entries := make([]membership.VM, len(s.VMs))
	for i, vm := range s.VMs {
		entries[i] = vm.VM
	}
	if err := s.Platform.PublishJSON(platform.VMsKey, entries); err != nil {
		panic(err) // a list of VMs can always be encoded
	}
}

// Publish edits the configuration, increments its version and publishes it.
func (s *Site) Publish(edit func(f *config.File)) (err error) {
	edit(s.Config)
	s.Config.Version++
	return s.Platform.PublishJSON(platform.ConfigKey, s.Config)
}

// StartAll starts the daemons of all VMs and makes the fabric send to them.
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
	if s.opts.withProxies && vm.Proxy == nil {
		p, stop, err := fault.NewVMProxy(s.ctx, vm.VM, vm.Bind, s.opts.seed)
		if err != nil {
			return err
		}
		s.addCleanup(stop)
		vm.Proxy = p
	}
	data, err := json.MarshalIndent(s.settings(vm), "", "  ")
	if err != nil {
		return err
	}
	vm.Process, err = s.launch(s.ctx, data)
	return err
}

// settings returns the fields of a VM's settings file.
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

// RouteToRunning makes the fabric send to all running VMs except the given ones.
func (s *Site) RouteToRunning(except ...*VM) {
	var targets []netip.AddrPort
	for _, vm := range s.VMs {
		if vm.Process != nil && !slices.Contains(except, vm) {
			targets = append(targets, vm.Tunnel)
		}
	}
	s.Fabric.SetTargets(targets)
}

// Stop shuts a VM's daemon down gracefully. The fabric stops sending to it first, and
// the daemon forwards the packets that are still in flight.
func (s *Site) Stop(vm *VM) {
	s.RouteToRunning(vm)
	vm.Process.Stop()
	vm.Process = nil
}

// Kill ends a VM's daemon immediately. The fabric keeps sending to it.
func (s *Site) Kill(vm *VM) {
	vm.Process.Kill()
	vm.Process = nil
}

// Gateways returns the gateway addresses of the running VMs.
func (s *Site) Gateways() (list []netip.AddrPort) {
	for _, vm := range s.VMs {
		if vm.Process != nil {
			list = append(list, vm.Gateway)
		}
	}
	return list
}

// Runs returns the requests that all upstreams ran.
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

// SetPathRule sets the fault rule between the VMs of two failure domains, in both
// directions. It requires WithProxies.
func (s *Site) SetPathRule(a, b config.DomainName, rule fault.Rule) {
	for _, from := range s.DomainVMs(a) {
		for _, to := range s.DomainVMs(b) {
			to.Proxy.SetRule(from.Bind.Peer.Addr(), rule)
			from.Proxy.SetRule(to.Bind.Peer.Addr(), rule)
		}
	}
}
