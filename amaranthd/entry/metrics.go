package entry

import (
	"fmt"

	"github.com/amaranthswitch/amaranthswitch/amaranthd/operator"
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/forward"
)

// Names of the latency histograms, in seconds.
const (
	openingHistogram = "amaranth_entry_opening_seconds"
	answerHistogram  = "amaranth_entry_answer_seconds"
	// activationHistogram counts the times from the arrival of a change of the
	// published items to the catalog that holds it.
	activationHistogram = "amaranth_entry_activation_seconds"
)

// registerMetrics registers the gauges of the daemon with s and sends latencies to
// its histograms.
func (d *Daemon) registerMetrics(s *operator.Server) {
	counts := map[string]func() int64{
		"amaranth_entry_packets_received_total":  d.dataPath.received.Load,
		"amaranth_entry_packets_malformed_total": d.dataPath.malformed.Load,
		"amaranth_entry_packets_unsent_total":    d.dataPath.sendErrors.Load,
		"amaranth_entry_packets_forwarded_total": d.engine.Forwarded.Load,
		"amaranth_entry_flows_placed_total":      d.engine.Placed.Load,
		"amaranth_entry_answers_rejected_total":  d.engine.RejectedAnswers.Load,
		"amaranth_entry_upstreams_slow":          func() int64 { return int64(d.engine.SlowUpstreams()) },
		"amaranth_entry_flows":                   d.engine.Flows.Load,
		"amaranth_entry_source_calls_total":      d.replicator.calls.Load,
		"amaranth_entry_source_failures_total":   d.replicator.failures.Load,
		"amaranth_entry_reader_rank":             d.replicator.rank.Load,
		"amaranth_entry_peers":                   func() int64 { return int64(len(d.peers.status())) },
		"amaranth_entry_peer_bytes_out_total":    d.peers.bytesOut.Load,
		"amaranth_entry_peer_invalid_total":      d.peers.invalid.Load,
		"amaranth_entry_suspicions_told_total":   d.peers.suspicionsSent.Load,
		"amaranth_entry_suspicions_heard_total":  d.peers.suspicionsReceived.Load,
		"amaranth_entry_late_ticks_total":        d.engine.LateTicks.Load,
		"amaranth_entry_call_bytes_out_total":    func() int64 { return d.pool.BytesOut.Load() + d.server.BytesOut.Load() },
		"amaranth_entry_revision":                func() int64 { return int64(d.replicator.localCopy().Complete.Number()) },
		"amaranth_entry_store_era":               func() int64 { return int64(d.replicator.localCopy().Complete.Era()) },
		"amaranth_entry_log_lines_dropped_total": d.linesDropped,
	}
	counts[`amaranth_entry_link_bytes_total{direction="in"}`] = d.dataPath.bytesIn.Load
	counts[`amaranth_entry_link_bytes_total{direction="out"}`] = d.dataPath.bytesOut.Load
	for name, read := range counts {
		s.Gauge(name, func() float64 { return float64(read()) })
	}
	s.Gauge("amaranth_entry_copy_age_seconds", func() float64 { return d.copyAge().Seconds() })
	s.Gauge("amaranth_entry_receive_delay_seconds", func() float64 { return d.peers.delay.estimate().Seconds() })
	s.Gauge("amaranth_entry_config_version", func() float64 { return float64(d.status().Version) })
	s.Gauge("amaranth_entry_upstreams", func() float64 { return float64(d.status().Upstreams) })
	s.Gauge("amaranth_entry_evidence_distrusted", func() float64 { return boolToFloat(!d.engine.TrustsEvidence(d.clk.Now())) })
	s.Gauge("amaranth_entry_utilization", d.overload.lastUtilization)
	s.Gauge("amaranth_entry_ready", func() float64 { return boolToFloat(d.ready()) })
	for r := forward.NoCatalog; r < forward.ReasonCount; r++ {
		s.Gauge(fmt.Sprintf("amaranth_entry_packets_dropped_total{reason=%q}", r), func() float64 { return float64(d.engine.Dropped[r].Load()) })
		s.Gauge(fmt.Sprintf("amaranth_entry_packets_refused_total{reason=%q}", r), func() float64 { return float64(d.engine.Refused[r].Load()) })
	}
	s.Gauges(func(write func(name string, value float64)) {
		for _, a := range d.engine.AdmittedShares() {
			write(fmt.Sprintf("amaranth_entry_admitted_share{service=%q,priority=\"%d\"}", a.Service, a.Priority), a.Share)
		}
	})
	d.latencies.opened = func(took clock.Millis) { s.Observe(openingHistogram, took.Seconds()) }
	d.latencies.answered = func(took clock.Millis) { s.Observe(answerHistogram, took.Seconds()) }
	d.latencies.activated = func(took clock.Millis) { s.Observe(activationHistogram, took.Seconds()) }
}

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
