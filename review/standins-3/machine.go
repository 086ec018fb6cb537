package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Ports of all machines.
const (
	packetsPort = 18172
	readyPort   = 18167
	controlPort = 18166
	bindPort    = 18164 // of a machine behind a link, see link
	metricsPort = 18120
)

// machine runs the project's program as the deploy file says.
type machine struct {
	w       *world
	node    string
	zone    string
	ip      string
	packets netip.AddrPort
	ready   string
	path    string
	fields  map[string]any

	mu      sync.Mutex
	process *os.Process
	ended   chan struct{}
	wanted  bool // the platform starts it again if it ends
}

func (w *world) newMachine(node, zone, ip string, seeds []string) *machine {
	m := &machine{
		w: w, node: node, zone: zone, ip: ip,
		packets: netip.AddrPortFrom(netip.MustParseAddr(ip), packetsPort), ready: fmt.Sprintf("%s:%d", ip, readyPort),
		path: filepath.Join(w.dir, node+".json"),
	}
	// The fields are those of deploy/settings.json.tmpl.
	m.fields = map[string]any{
		"vm": node, "domain": zone, "region": "hue", "domains": w.zones,
		"packets": m.packets.String(), "ready": m.ready, "peers": fmt.Sprintf("%s:%d", ip, controlPort),
		"metrics": fmt.Sprintf("%s:%d", ip, metricsPort), "seeds": seeds, "source": w.storeNow().address,
		"heartbeatMillis": w.ping.Milliseconds(), "stopSeconds": 6, "logLevel": "info",
		"limits": map[string]any{"linkMbps": 1000, "cpuShare": 0.4, "cpuCores": 1},
	}
	w.machines = append(w.machines, m)
	return m
}

// writeSettings replaces the settings file as a whole.
func (m *machine) writeSettings() error {
	data, err := json.Marshal(m.fields)
	if err != nil {
		return err
	}
	if err = os.WriteFile(m.path+".new", data, 0o600); err != nil {
		return err
	}
	return os.Rename(m.path+".new", m.path)
}

func (m *machine) start() error {
	if err := m.writeSettings(); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.w.dir, m.node+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/amaranth-entry", "run")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "AMARANTHSWITCH_NODE_FILE=" + m.path}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err = cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	m.mu.Lock()
	m.process, m.ended, m.wanted = cmd.Process, ended, true
	m.mu.Unlock()
	m.w.rec.log("start %s", m.node)
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		m.w.rec.log("end %s: %v", m.node, cmd.ProcessState)
		close(ended)
	}()
	return nil
}

func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process != nil {
		_ = m.process.Signal(s)
	}
}

// kill ends the process at once and waits for that.
func (m *machine) kill() {
	m.signal(syscall.SIGCONT)
	m.signal(syscall.SIGKILL)
	m.wait(5 * time.Second)
}

// stop sends SIGTERM, and SIGKILL after the grace time.
func (m *machine) stop() {
	m.signal(syscall.SIGTERM)
	if !m.wait(6 * time.Second) {
		m.kill()
	}
}

func (m *machine) wait(within time.Duration) bool {
	m.mu.Lock()
	ended := m.ended
	m.mu.Unlock()
	if ended == nil {
		return true
	}
	select {
	case <-ended:
		return true
	case <-time.After(within):
		return false
	}
}

// isReader reports whether the machine watches the store for the others.
func (m *machine) isReader() bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/status", m.ip, metricsPort))
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	var status struct {
		ReaderRank *int `json:"readerRank"`
	}
	return json.NewDecoder(resp.Body).Decode(&status) == nil && status.ReaderRank != nil && *status.ReaderRank == 0
}
