package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/amaranthswitch/amaranthswitch/standin/store"
)

// Ports of every VM, and of the upstreams and the store. choosePorts sets them.
var packetsPort, readyPort, peersPort, metricsPort, upstreamPort, storePort int

// choosePorts sets the ports to six in a row that nothing uses on any address.
func choosePorts() error {
	for first := 12_000 + os.Getpid()%10_000; first < 30_000; first += 6 {
		if !free(first, 6) {
			continue
		}
		for i, port := range []*int{&packetsPort, &readyPort, &peersPort, &metricsPort, &upstreamPort, &storePort} {
			*port = first + i
		}
		return nil
	}
	return errors.New("no free ports")
}

// free reports whether nothing uses n ports from first on.
func free(first, n int) bool {
	for port := first; port < first+n; port++ {
		address := fmt.Sprintf("0.0.0.0:%d", port)
		ln, err := net.Listen("tcp4", address)
		if err != nil {
			return false
		}
		_ = ln.Close()
		conn, err := net.ListenPacket("udp4", address)
		if err != nil {
			return false
		}
		_ = conn.Close()
	}
	return true
}

// Settings of the deployment, in the units of the settings file.
const (
	heartbeatMillis = 1200
	graceSeconds    = 6
)

// entryProgram is the program that the build line of the deploy file makes.
const entryProgram = "target/amaranth-entry"

// vm is a process of the entry daemon with its own loopback address.
type vm struct {
	name, domain, ip, settings string
	log                        *os.File

	mu      sync.Mutex
	process *os.Process
	ended   chan struct{}
	misses  int // readiness probes missed in a row
}

// fleet is a small deployment on loopback addresses.
type fleet struct {
	subnet  string
	dir     string
	lock    net.Listener
	store   *store.Server
	stop    func()
	vms     []*vm
	domains []string
	record  *recorder
	// source is the address of the store in the settings of VMs that are added.
	source string
	// seeds are those of VMs that are added, and warmup the time for which upstreams are
	// cold in the configuration.
	seeds  []string
	warmup time.Duration

	upstreams map[string]*upstream
}

// newFleet reserves a subnet and starts the store.
func newFleet(ctx context.Context, record *recorder, domains ...string) (f *fleet, err error) {
	f = &fleet{domains: domains, record: record, upstreams: make(map[string]*upstream)}
	if f.dir, err = os.MkdirTemp("", "amaranth-drill"); err != nil {
		return nil, err
	}
	if err = choosePorts(); err != nil {
		return nil, err
	}
	for n := range 200 {
		f.subnet = fmt.Sprintf("127.%d.%d", 60+n%40, (os.Getpid()+n)%250)
		if f.lock, err = net.Listen("tcp4", f.address(254, storePort)); err == nil {
			break
		}
	}
	if err != nil {
		return nil, err
	}
	f.store, f.stop, err = store.Start(ctx, f.address(1, storePort))
	f.source, f.warmup = f.address(1, storePort), warmupTime
	for i := range 3 {
		f.seeds = append(f.seeds, f.address(10+i, peersPort))
	}
	return f, err
}

func (f *fleet) address(host, port int) string { return fmt.Sprintf("%s.%d:%d", f.subnet, host, port) }

// close ends all processes and stand-ins, and removes the temporary folder.
func (f *fleet) close() {
	for _, v := range f.vms {
		v.kill()
		_ = v.log.Close()
	}
	for _, u := range f.upstreams {
		u.close()
	}
	f.stop()
	_ = f.lock.Close()
	if os.Getenv("KEEP") != "" {
		fmt.Fprintln(os.Stderr, "logs of the VMs:", f.dir)
		return
	}
	_ = os.RemoveAll(f.dir)
}

// addVM writes the settings of a VM as deploy/settings.json.tmpl gives them, and starts it.
func (f *fleet) addVM(domain string) (v *vm, err error) {
	n := len(f.vms)
	ip := fmt.Sprintf("%s.%d", f.subnet, 10+n)
	v = &vm{name: fmt.Sprintf("front-%s-%d", domain, n), domain: domain, ip: ip, settings: filepath.Join(f.dir, fmt.Sprintf("vm%d.json", n))}
	at := func(port int) string { return fmt.Sprintf("%s:%d", ip, port) }
	data, err := json.Marshal(map[string]any{
		"vm": v.name, "domain": domain, "region": "midlands", "domains": f.domains,
		"packets": at(packetsPort), "ready": at(readyPort), "peers": at(peersPort), "metrics": at(metricsPort),
		"seeds": f.seeds, "source": f.source, "heartbeatMillis": heartbeatMillis, "stopSeconds": graceSeconds,
		"logLevel": "info", "limits": map[string]any{"linkMbps": 1000.0, "cpuShare": 0.4, "cpuCores": 1},
	})
	if err != nil {
		return nil, err
	}
	if err = os.WriteFile(v.settings, data, 0o600); err != nil {
		return nil, err
	}
	if v.log, err = os.Create(filepath.Join(f.dir, v.name+".log")); err != nil {
		return nil, err
	}
	f.vms = append(f.vms, v)
	return v, v.start()
}

// start runs the command of the deploy file.
func (v *vm) start() error {
	cmd := exec.Command(entryProgram, "run")
	cmd.Env = append(os.Environ(), "AMARANTHSWITCH_NODE_FILE="+v.settings)
	cmd.Stdout, cmd.Stderr = v.log, v.log
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	v.mu.Lock()
	v.process, v.ended = cmd.Process, ended
	v.mu.Unlock()
	go func() { _ = cmd.Wait(); close(ended) }()
	return nil
}

// kill sends SIGKILL and waits for the end of the process.
func (v *vm) kill() {
	v.mu.Lock()
	process, ended := v.process, v.ended
	v.mu.Unlock()
	if process == nil {
		return
	}
	_ = process.Signal(syscall.SIGKILL)
	<-ended
}

func (v *vm) packets() netip.AddrPort {
	return netip.MustParseAddrPort(fmt.Sprintf("%s:%d", v.ip, packetsPort))
}

var readyClient = http.Client{Timeout: 400 * time.Millisecond}

func (v *vm) ready() bool {
	resp, err := readyClient.Get(fmt.Sprintf("http://%s:%d/amaranthswitch/ready", v.ip, readyPort))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all VMs are ready.
func (f *fleet) awaitReady(within time.Duration) error {
	for deadline := time.Now().Add(within); ; time.Sleep(20 * time.Millisecond) {
		all := true
		for _, v := range f.vms {
			all = all && v.ready()
		}
		if all {
			return nil
		}
		if time.Now().After(deadline) {
			return errors.New("the VMs are not ready")
		}
	}
}

// probeReadiness does what the routers of the platform do: it probes each VM twice a
// second, and takes one out of rotation after two misses, until ctx ends.
func (f *fleet) probeReadiness(ctx context.Context) {
	for ctx.Err() == nil {
		for _, v := range f.vms {
			ok := v.ready()
			v.mu.Lock()
			if v.misses++; ok {
				v.misses = 0
			}
			v.mu.Unlock()
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// route returns the VM of a failure domain to which the routers send the packets of a
// flow. The choice is stable as long as the rotation is (rendezvous hash).
func (f *fleet) route(domain string, port uint16) (best *vm) {
	for _, anyDomain := range []bool{false, true} {
		var top uint64
		for i, v := range f.vms {
			v.mu.Lock()
			out := v.misses >= 2
			v.mu.Unlock()
			if out || v.domain != domain && !anyDomain {
				continue
			}
			h := (uint64(port)*0x9e3779b97f4a7c15 + uint64(i+1)*0xbf58476d1ce4e5b9)
			h ^= h >> 31
			h *= 0x94d049bb133111eb
			if best == nil || h > top {
				best, top = v, h
			}
		}
		if best != nil {
			return best
		}
	}
	return f.vms[0]
}

// recorder writes what was sent, answered and run to a file.
type recorder struct {
	mu    sync.Mutex
	begin time.Time
	out   *os.File
}

func newRecorder(path string) (*recorder, error) {
	out, err := os.Create(path)
	return &recorder{begin: time.Now(), out: out}, err
}

func (r *recorder) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var b bytes.Buffer
	fmt.Fprintf(&b, "%8.3f ", time.Since(r.begin).Seconds())
	fmt.Fprintf(&b, format, args...)
	b.WriteByte('\n')
	_, _ = r.out.Write(b.Bytes())
}
