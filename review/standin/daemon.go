package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"sort"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// probePeriod is the period of the readiness probes of the platform.
	probePeriod = 500 * time.Millisecond
	// restartDelay is the time after which the platform restarts a process that ended.
	restartDelay = 500 * time.Millisecond
)

// daemon is a process of the system on a machine with an address of its own.
type daemon struct {
	w        *world
	node     string
	zone     string
	ip       string
	packets  netip.AddrPort
	fields   map[string]any
	settings string

	mu     sync.Mutex
	cmd    *exec.Cmd
	ended  chan struct{}
	misses int
	ready  bool
}

// addDaemon writes the settings of a machine from the template of the deploy file. It
// starts nothing.
func (w *world) addDaemon(node, zone string, host int, seeds []string, change map[string]any) (*daemon, error) {
	ip := fmt.Sprintf("%s.%d", w.subnet, host)
	at := func(port uint16) string { return fmt.Sprintf("%s:%d", ip, port) }
	zones := make(map[string]any)
	for _, z := range w.zones {
		zones[z] = "region-1"
	}
	bounds := map[string]any{"graceS": 6, "drainMs": 3000, "stabilityMs": 4000, "configApplyMs": 3000}
	for k, v := range change {
		bounds[k] = v
	}
	d := &daemon{
		w: w, node: node, zone: zone, ip: ip, packets: netip.MustParseAddrPort(at(w.packetsPort)), settings: filepath.Join(w.dir, node+".json"),
		fields: map[string]any{
			"node": node, "zone": zone, "region": "region-1", "zones": zones, "ip": ip,
			"listen":            map[string]any{"datagramAddr": at(w.packetsPort), "ready": at(w.readyPort), "control": at(w.controlPort)},
			"internalPortRange": []any{int(w.controlPort) + 1, int(w.controlPort) + 16},
			"seeds":             seeds, "platform": map[string]any{"address": w.storeAddress}, "heartbeatMs": int(w.heartbeat.Milliseconds()),
			"bounds": bounds,
		},
	}
	text, err := os.ReadFile(w.template)
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(d.settings, []byte(render(string(text), d.fields)), 0o600); err != nil {
		return nil, err
	}
	w.daemons = append(w.daemons, d)
	go d.probe()
	return d, nil
}

var (
	section     = regexp.MustCompile(`(?s)\{\{#(\w+)\}\}(.*?)\{\{/(\w+)\}\}`)
	placeholder = regexp.MustCompile(`\{\{([\w.]+)(\|json)?\}\}`)
)

// render fills in a template as the platform does, as far as the deploy file needs it.
func render(text string, fields map[string]any) string {
	text = section.ReplaceAllStringFunc(text, func(s string) string {
		m := section.FindStringSubmatch(s)
		var keys []string
		for k := range fields[m[1]].(map[string]any) {
			keys = append(keys, k)
		}
		sort.Strings(keys)
		var out strings.Builder
		for i, k := range keys {
			comma := ","
			if i == len(keys)-1 {
				comma = ""
			}
			out.WriteString(strings.NewReplacer("{{@}}", k, "{{,}}", comma).Replace(m[2]))
		}
		return out.String()
	})
	return placeholder.ReplaceAllStringFunc(text, func(s string) string {
		m := placeholder.FindStringSubmatch(s)
		var value any = fields
		for _, name := range strings.Split(m[1], ".") {
			switch v := value.(type) {
			case map[string]any:
				value = v[name]
			case []any:
				i, _ := strconv.Atoi(name)
				value = v[i]
			}
		}
		data, _ := json.Marshal(value)
		if m[2] == "" {
			return strings.Trim(string(data), `"`)
		}
		return string(data)
	})
}

// start starts the process with the command of the deploy file.
func (d *daemon) start() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(d.w.dir, d.node+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	d.cmd = exec.Command(d.w.binary, "run")
	d.cmd.Env = append(os.Environ(), "AMARANTHSWITCH_NODE_FILE="+d.settings)
	d.cmd.Stdout, d.cmd.Stderr = log, log
	d.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := d.cmd.Start(); err != nil {
		return err
	}
	d.ended = make(chan struct{})
	cmd, ended := d.cmd, d.ended
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		d.w.logf("daemon %s: process ended: %v", d.node, err)
		close(ended)
	}()
	d.w.logf("daemon %s: process started", d.node)
	return nil
}

// kill kills the process, if it runs, and waits until it has ended.
func (d *daemon) kill() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd == nil {
		return
	}
	_ = d.cmd.Process.Signal(syscall.SIGKILL)
	<-d.ended
	d.cmd = nil
}

// running reports whether the process runs.
func (d *daemon) running() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd == nil {
		return false
	}
	select {
	case <-d.ended:
		return false
	default:
		return true
	}
}

// probe probes the readiness twice a second. After two misses the daemon is out of
// rotation until it answers 200 again.
func (d *daemon) probe() {
	client := http.Client{Timeout: probePeriod - 50*time.Millisecond}
	url := fmt.Sprintf("http://%s:%d/amaranthswitch/ready", d.ip, d.w.readyPort)
	for range time.Tick(probePeriod) {
		resp, err := client.Get(url)
		ok := err == nil && resp.StatusCode == http.StatusOK
		if err == nil {
			_ = resp.Body.Close()
		}
		d.mu.Lock()
		was := d.ready
		if ok {
			d.misses, d.ready = 0, true
		} else if d.misses++; d.misses >= 2 {
			d.ready = false
		}
		now := d.ready
		d.mu.Unlock()
		if was != now {
			d.w.logf("platform: daemon %s in rotation: %v", d.node, now)
		}
	}
}

func (d *daemon) inRotation() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ready
}

// route returns the daemon to which the routers send a flow of consumers of a zone: by
// a steady hash over the zone's daemons in rotation, over all of its daemons if fewer
// than half are, or over those of other zones if none is.
func (w *world) route(zone string, id flowID) *daemon {
	var all, in, elsewhere []*daemon
	for _, d := range w.daemons {
		switch ready := d.inRotation(); {
		case d.zone == zone && ready:
			all, in = append(all, d), append(in, d)
		case d.zone == zone:
			all = append(all, d)
		case ready:
			elsewhere = append(elsewhere, d)
		}
	}
	list := in
	switch {
	case len(in) == 0 && len(elsewhere) > 0:
		list = elsewhere
	case 2*len(in) < len(all):
		list = all
	}
	var best *daemon
	var bestHash uint64
	for _, d := range list {
		if h := hashOf(d.node, id); best == nil || h > bestHash {
			best, bestHash = d, h
		}
	}
	return best
}
