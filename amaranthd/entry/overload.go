package entry

import (
	"context"
	"log/slog"
	"math"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/event"
	"github.com/amaranthswitch/amaranthswitch/fleet/forward"
	"github.com/amaranthswitch/amaranthswitch/fleet/vmload"
)

// overloadLogInterval is the shortest time between two log lines about the load.
const overloadLogInterval = clock.Second

// overloadControl keeps a VM with limits below them: it drops openings and reports not
// ready. While the link is full, it makes the engine distrust the evidence of the VM.
// Without limits it does nothing.
type overloadControl struct {
	limits   vmload.Limits
	engine   *forward.Engine
	dataPath *dataPath
	peers    *peers
	log      *slog.Logger

	meter     *vmload.Meter
	link      *vmload.LinkQueue
	shedder   *vmload.Shedder
	readiness vmload.Readiness
	logged    overloadReport
	loggedAt  clock.Millis

	utilization atomic.Uint64 // bits of a float64
	// reportNotReady is set while this VM reports not ready because of its load.
	reportNotReady atomic.Bool
}

// overloadReport is what log lines about the load tell of.
type overloadReport struct {
	shedding, notReady bool
}

func newOverloadControl(settings *Settings, engine *forward.Engine, dataPath *dataPath, peers *peers, log *slog.Logger) *overloadControl {
	o := &overloadControl{
		limits: settings.Limits, engine: engine, dataPath: dataPath, peers: peers, log: log,
		meter: vmload.NewMeter(settings.Limits), link: vmload.NewLinkQueue(settings.Limits), shedder: vmload.NewShedder(settings.VM),
	}
	dataPath.sheds = o.sheds
	return o
}

// sheds reports whether to drop an opening packet. The copy of one that has passed follows
// its flow. It is called by the data path.
func (o *overloadControl) sheds(packet *forward.Packet) bool {
	if !o.shedder.Active() {
		return false
	}
	c := o.engine.Catalog()
	if c == nil {
		return false
	}
	route, ok := c.Route(packet.Destination)
	return ok && o.shedder.Sheds(route.Priority, packet.FlowHash()) && !o.engine.IsPlaced(packet)
}

// poll records the usage and updates the decisions. It is to be called every
// vmload.SampleInterval.
func (o *overloadControl) poll(ctx context.Context, now clock.Millis) {
	if !o.limits.Present() {
		return
	}
	usage := vmload.Usage{ReceivedBytes: o.dataPath.bytesIn.Load(), SentBytes: o.dataPath.bytesOut.Load(), Processor: processorTime()}
	if link := o.link.Record(now, usage); link.Full {
		o.engine.RecordFullLink(now, link.Delay)
	}
	o.meter.Record(now, usage)
	utilization := o.meter.Utilization()
	o.utilization.Store(math.Float64bits(utilization))
	if c := o.engine.Catalog(); c != nil {
		o.shedder.Update(utilization, c.Config.Routes)
	}
	state := o.readiness.Update(now, utilization, o.peers.overloads(now))
	o.peers.setOverload(state)
	o.reportNotReady.Store(state == vmload.NotReady)
	o.logChange(ctx, now, utilization)
}

// logChange logs that this VM begins or ceases to drop openings or to report not ready. A
// change within overloadLogInterval of another is logged after it, unless it was undone.
func (o *overloadControl) logChange(ctx context.Context, now clock.Millis, utilization float64) {
	current := overloadReport{shedding: o.shedder.Active(), notReady: o.reportNotReady.Load()}
	if current == o.logged || o.loggedAt != 0 && now-o.loggedAt < overloadLogInterval {
		return
	}
	o.logged, o.loggedAt = current, now
	event.Log(ctx, o.log, event.VMOverloaded, slog.Float64("utilization", utilization),
		slog.Bool("ready", !current.notReady), slog.Bool("dropping", current.shedding))
}

// stop ends the drops. A VM that drains forwards all openings, and is not ready anyway.
func (o *overloadControl) stop() { o.shedder.Stop() }

// lastUtilization returns the utilization as last recorded, 0 without limits.
func (o *overloadControl) lastUtilization() float64 {
	return math.Float64frombits(o.utilization.Load())
}

// processorTime returns the processor time that this process has used, or 0 if the system
// does not tell.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
