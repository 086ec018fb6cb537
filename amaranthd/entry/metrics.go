package entry

import (
	"fmt"

	"github.com/amaranthswitch/amaranthswitch/amaranthd/operator"
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/forward"
)

// Names of the histograms, in seconds.
const (
	openedSeconds   = "amaranth_entry_opening_seconds"
	answeredSeconds = "amaranth_entry_answer_seconds"
)

// registerMetrics publishes the daemon's counts and ages.
func (d *Daemon) registerMetrics(s *operator.Server) {
	counts := map[string]func() int64{
		"amaranth_entry_packets_received_total":  d.path.received.Load,
		"amaranth_entry_packets_malformed_total": d.path.malformed.Load,
		"amaranth_entry_packets_unsent_total":    d.path.failed.Load,
		"amaranth_entry_packets_forwarded_total": d.engine.Forwarded.Load,
		"amaranth_entry_flows_placed_total":      d.engine.Placed.Load,
		"amaranth_entry_flows":                   d.engine.Flows.Load,
		"amaranth_entry_source_calls_total":      d.keeper.calls.Load,
		"amaranth_entry_source_failures_total":   d.keeper.failures.Load,
		"amaranth_entry_reader_rank":             d.keeper.rank.Load,
		"amaranth_entry_peers":                   func() int64 { return int64(len(d.peers.status())) },
		"amaranth_entry_peer_bytes_out_total":    d.peers.bytesOut.Load,
		"amaranth_entry_peer_invalid_total":      d.peers.invalid.Load,
		"amaranth_entry_suspicions_told_total":   d.peers.told.Load,
		"amaranth_entry_suspicions_heard_total":  d.peers.heard.Load,
		"amaranth_entry_call_bytes_out_total":    func() int64 { return d.pool.BytesOut.Load() + d.server.BytesOut.Load() },
		"amaranth_entry_revision":                func() int64 { return int64(d.keeper.held().Complete) },
		"amaranth_entry_log_lines_dropped_total": d.linesDropped,
	}
	for name, read := range counts {
		s.Gauge(name, func() float64 { return float64(read()) })
	}
	s.Gauge("amaranth_entry_copy_age_seconds", func() float64 { return d.copyAge().Seconds() })
	s.Gauge("amaranth_entry_config_version", func() float64 { return float64(d.status().Version) })
	s.Gauge("amaranth_entry_upstreams", func() float64 { return float64(d.status().Upstreams) })
	s.Gauge("amaranth_entry_ready", func() float64 { return asNumber(d.ready()) })
	for r := forward.NoCatalog; r < forward.ReasonCount; r++ {
		s.Gauge(fmt.Sprintf("amaranth_entry_packets_dropped_total{reason=%q}", r), func() float64 { return float64(d.engine.Dropped[r].Load()) })
		s.Gauge(fmt.Sprintf("amaranth_entry_packets_refused_total{reason=%q}", r), func() float64 { return float64(d.engine.Refused[r].Load()) })
	}
	d.observe.opened = func(took clock.Millis) { s.Observe(openedSeconds, took.Seconds()) }
	d.observe.answered = func(took clock.Millis) { s.Observe(answeredSeconds, took.Seconds()) }
}

func asNumber(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
