package admission

import (
	"math"
	"reflect"
	"testing"

	"github.com/google/go-cmp/cmp"
	"gotest.tools/v3/assert"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
)

var high, short, long = Request{Priority: 1}, Request{Priority: 2}, Request{Priority: 2, Long: true}

// play answers 100 requests per second from now until end, the given share of them with
// rejections, while requests of the classes arrive. It returns end.
func play(c *Controller, now, end clock.Millis, rejected float64, classes ...Request) clock.Millis {
	for owed := 0.0; now < end; now += 10 {
		owed += rejected
		if len(classes) > 0 {
			c.Record(now, classes[int(now/10)%len(classes)].Priority, owed >= 1)
		}
		owed -= math.Floor(owed)
		for _, r := range classes {
			c.Decide(now, r)
		}
		c.Tick(now)
	}
	return end
}

// admitted returns the share of a thousand flows of a class that are placed.
func admitted(c *Controller, now clock.Millis, r Request) (share float64) {
	for r.Flow = range uint64(1000) {
		share += 0.001 * float64(1-min(1, c.Decide(now, r)))
	}
	return share
}

// TestOrder guards against holding back a priority while a lower one still has more
// than its floor, short flows before long ones, and any class for want of a higher one.
func TestOrder(t *testing.T) {
	all := []Request{high, short, long}
	for _, test := range []struct {
		classes  []Request
		rejected float64
		lasts    clock.Millis
		want     [3]float64 // admitted of high, short and long, to within 0.05
	}{
		{all, 0, 9000, [3]float64{1, 1, 1}},
		{all, 0.15, 9000, [3]float64{1, 1, 1}},
		{all, 0.5, 500, [3]float64{1, 1, 0.28}},
		{all, 0.5, 1500, [3]float64{1, 0.2, 0.05}},
		{all, 1, 60_000, [3]float64{1, 0.05, 0.05}},
		{all[1:], 1, 60_000, [3]float64{1, 1, 1}},
		{nil, 1, 60_000, [3]float64{1, 1, 1}},
	} {
		c := New()
		end := play(c, 1000, 1000+test.lasts, test.rejected, test.classes...)
		for i, r := range all {
			assert.Assert(t, math.Abs(admitted(c, end, r)-test.want[i]) < 0.04, "%+v: %+v", test, r)
		}
	}
}

// TestVerdicts guards against resets of copies, which may belong to an open flow, against
// refusals once the pressure has ended, and against waits in vain before.
func TestVerdicts(t *testing.T) {
	for _, test := range []struct {
		rejected float64 // share in the last second
		r        Request
		want     Verdict
	}{
		{1, Request{}, Reject},
		{1, Request{Retransmits: 1}, Place},
		{0, Request{}, Wait},
		{0, Request{Retransmits: 1}, Place},
	} {
		c := New()
		end := play(c, play(c, 1000, 20_000, 1, high, long), 21_000, test.rejected, high, long)
		test.r.Priority, test.r.Long = long.Priority, true
		for test.r.Flow = range uint64(200) {
			got, first := c.Decide(end, test.r), c.Decide(end, Request{Priority: 2, Long: true, Flow: test.r.Flow})
			assert.Assert(t, got == test.want && first != Place || got == Place && first == Place, "%+v: %d", test, got)
		}
	}
}

// TestExplain guards against an explanation that differs from the decision that follows,
// and against one that changes the state: that marks a class as in use, creates it or
// decays the pressure.
func TestExplain(t *testing.T) {
	state := cmp.Exporter(func(reflect.Type) bool { return true })
	for _, quiet := range []clock.Millis{0, 400, 3000} {
		asked, other := New(), New()
		end := play(asked, 1000, 20_000, 1, high, long) + quiet
		play(other, 1000, 20_000, 1, high, long)
		for _, r := range []Request{long, short, high, {Priority: 2, Long: true, Retransmits: 1}} {
			for r.Flow = range uint64(200) {
				end++ // or the pressure has decayed already
				x := asked.Explain(end, r)
				assert.DeepEqual(t, asked, other, state)
				assert.Equal(t, x.Verdict, asked.Decide(end, r))
				assert.Equal(t, x.Verdict, other.Decide(end, r))
				assert.Equal(t, x.Pressure, other.Pressure(end))
				asked.Pressure(end) // decays it as in other
			}
		}
	}
}

// TestReturnIsSpread guards against a herd of callers: when the pressure ends, or the
// higher priority goes away, no interval may admit much more than the one before.
func TestReturnIsSpread(t *testing.T) {
	for _, after := range [][]Request{{high, long}, {long}} {
		c := New()
		now := play(c, 1000, 20_000, 1, high, long)
		for share := admitted(c, now, long); share < 0.999; {
			now = play(c, now, now+adjustInterval, 0, after...)
			next := admitted(c, now, long)
			assert.Assert(t, next >= share && next-share < 0.06 && now < 32_000, "%g after %g at %d", next, share, now)
			share = next
		}
	}
}
