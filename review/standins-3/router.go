package main

import (
	"hash/fnv"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// router is a stand-in of the platform's routers, see PROTOCOL.md, "Ingress". Its hash is
// "steady": only the flows of a machine that joins or leaves the rotation move.
type router struct {
	w        *world
	mu       sync.Mutex
	inZone   map[string][]*machine
	rotation map[*machine]bool
}

func newRouter(w *world) *router {
	return &router{w: w, inZone: map[string][]*machine{}, rotation: map[*machine]bool{}}
}

func (r *router) add(m *machine) {
	r.mu.Lock()
	r.inZone[m.zone] = append(r.inZone[m.zone], m)
	r.mu.Unlock()
	go r.probe(m)
}

// probe asks a machine twice per second whether it is ready.
func (r *router) probe(m *machine) {
	client := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	misses := 2
	for range time.Tick(500 * time.Millisecond) {
		resp, err := client.Get("http://" + m.ready + "/amaranthswitch/ready")
		ok := err == nil && resp.StatusCode == http.StatusOK
		if err == nil {
			_ = resp.Body.Close()
		}
		misses++
		if ok {
			misses = 0
		}
		r.set(m, misses < 2)
	}
}

func (r *router) set(m *machine, in bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.rotation[m] != in {
		r.w.rec.log("rotation %s %t", m.node, in)
	}
	r.rotation[m] = in
}

// ready reports whether all machines are in rotation.
func (r *router) ready() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, list := range r.inZone {
		for _, m := range list {
			if !r.rotation[m] {
				return false
			}
		}
	}
	return true
}

// pick selects a machine for a packet of a flow.
func (r *router) pick(zone string, from, to netip.AddrPort) *machine {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := r.usable(zone)
	for i := 0; len(list) == 0 && i < len(r.w.zones); i++ {
		list = r.usable(r.w.zones[i])
	}
	if len(list) == 0 {
		list = r.inZone[zone]
	}
	var best *machine
	var highest uint64
	for _, m := range list {
		h := fnv.New64a()
		_, _ = h.Write([]byte(m.node + from.String() + to.String()))
		if s := h.Sum64() * 0x9e3779b97f4a7c15; best == nil || s > highest {
			best, highest = m, s
		}
	}
	return best
}

// usable returns the machines of a zone that are in rotation, or all if those are fewer
// than half.
func (r *router) usable(zone string) (list []*machine) {
	for _, m := range r.inZone[zone] {
		if r.rotation[m] {
			list = append(list, m)
		}
	}
	if n := len(list); n > 0 && 2*n < len(r.inZone[zone]) {
		return r.inZone[zone]
	}
	return list
}
