package operator

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"
)

// Server is an HTTP server with the endpoints /metrics, /status and /ready, and those
// of HandleQuery.
type Server struct {
	set *metrics.Set
	mux *http.ServeMux
}

// Start serves on address until the cleanup is called. status returns the value
// that /status encodes as JSON, and ready reports whether the fabric may send
// packets; if not, /ready responds with status 503.
func Start(ctx context.Context, address netip.AddrPort, status func() any, ready func() bool) (s *Server, cleanup func(), err error) {
	defer func() { err = eris.Wrapf(err, "operator: serve %s", address) }()
	mux := http.NewServeMux()
	s = &Server{set: metrics.NewSet(), mux: mux}
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp", address.String())
	if err != nil {
		return nil, nil, err
	}
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

// Gauge registers a gauge whose value is read on each scrape.
func (s *Server) Gauge(name string, read func() float64) { s.set.NewGauge(name, read) }

// Gauges registers gauges whose names depend on what is known at the time of a scrape.
// read passes each to write.
func (s *Server) Gauges(read func(write func(name string, value float64))) {
	s.set.RegisterMetricsWriter(func(w io.Writer) {
		read(func(name string, value float64) { metrics.WriteGaugeFloat64(w, name, value) })
	})
}

// Count adds one to a counter, which is created on first use.
func (s *Server) Count(name string) { s.set.GetOrCreateCounter(name).Inc() }

// Observe adds a duration in seconds to a histogram, which is created on first
// use.
func (s *Server) Observe(name string, seconds float64) {
	s.set.GetOrCreateHistogram(name).Update(seconds)
}
