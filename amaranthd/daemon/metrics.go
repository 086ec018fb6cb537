package daemon

import (
	"fmt"

	"github.com/amaranthswitch/amaranthswitch/amaranthd/operator"
	"github.com/amaranthswitch/amaranthswitch/fleet/steering"
	"github.com/amaranthswitch/amaranthswitch/fleet/wire"
)

// registerMetrics publishes the daemon's counts.
func (d *Daemon) registerMetrics(s *operator.Server) {
	p, st := &d.path.Counters, d.engine.Stats()
	counts := map[string]func() int64{
		"amaranth_packets_received_total":    p.Received.Load,
		"amaranth_packets_forwarded_total":   p.Forwarded.Load,
		"amaranth_packets_detoured_total":    p.Detoured.Load,
		"amaranth_packets_malformed_total":   p.Malformed.Load,
		"amaranth_resets_total":              p.Resets.Load,
		"amaranth_flows":                     d.engine.Flows,
		"amaranth_flows_placed_total":        st.Placed.Load,
		"amaranth_flows_exceptions_total":    st.Exceptions.Load,
		"amaranth_flows_adopted_total":       st.Adopted.Load,
		"amaranth_flows_fallbacks_total":     st.Fallbacks.Load,
		"amaranth_flow_questions_total":      st.Queries.Load,
		"amaranth_flow_copies_total":         st.Copies.Load,
		"amaranth_flow_handovers_total":      st.Handovers.Load,
		"amaranth_platform_calls_total":      d.publisher.Calls,
		"amaranth_config_version":            func() int64 { return int64(d.engine.Version()) },
		"amaranth_calls_bytes_out_total":     d.pool.BytesOut.Load,
		"amaranth_calls_bytes_in_total":      d.pool.BytesIn.Load,
		"amaranth_calls_served_bytes_total":  d.server.BytesOut.Load,
		"amaranth_calls_request_bytes_total": d.server.BytesIn.Load,
	}
	for name, read := range counts {
		s.Gauge(name, func() float64 { return float64(read()) })
	}
	for r := range steering.DropReason(steering.ReasonCount) {
		s.Gauge(fmt.Sprintf("amaranth_packets_dropped_total{reason=%q}", r), func() float64 { return float64(p.Dropped[r].Load()) })
	}
	for k := wire.Detour; k < wire.KindCount; k++ {
		s.Gauge(fmt.Sprintf("amaranth_datagram_bytes_out_total{kind=%q}", k), func() float64 { return float64(d.socket.Out[k].Load()) })
		s.Gauge(fmt.Sprintf("amaranth_datagram_bytes_in_total{kind=%q}", k), func() float64 { return float64(d.socket.In[k].Load()) })
	}
}
