package operator

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"
)

// Server serves operators over HTTP.
type Server struct {
	set *metrics.Set
}

// Start serves on address until the cleanup is called. status returns the state
// that /status shows, and ready tells whether the fabric may send packets.
func Start(ctx context.Context, address netip.AddrPort, status func() any, ready func() bool) (s *Server, cleanup func(), err error) {
	defer func() { err = eris.Wrapf(err, "operator: serve %s", address) }()
	s = &Server{set: metrics.NewSet()}
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp", address.String())
	if err != nil {
		return nil, nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		s.set.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(status())
	})
	mux.HandleFunc("GET /ready", func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
		}
	})
	srv := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	ended := make(chan error, 1)
	go func() { ended <- srv.Serve(ln) }()
	return s, func() { _ = srv.Close(); <-ended }, nil
}

// Gauge registers a metric that is read when it is asked for.
func (s *Server) Gauge(name string, read func() float64) { s.set.NewGauge(name, read) }

// Count adds one to a counter, which is made on first use.
func (s *Server) Count(name string) { s.set.GetOrCreateCounter(name).Inc() }

// Observe adds a duration in seconds to a histogram, which is made on first
// use.
func (s *Server) Observe(name string, seconds float64) {
	s.set.GetOrCreateHistogram(name).Update(seconds)
}
