package forward

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
)

// TestHeldBack guards against a new catalog that forgets that upstreams are overloaded,
// and against holding back copies of openings that were placed before.
func TestHeldBack(t *testing.T) {
	e, now := New("vm", "a"), clock.Millis(1000)
	for range 3 {
		c := published(now, 0, upstream(1, "web", "a"), upstream(2, "api", "a"))
		c.Config.Routes[0].Priority = 2 // of webAddress, which shares its service with bothAddress
		e.SetCatalog(c)
		for end := now + 2000; now < end; now += TickInterval {
			e.Handle(now, opening(int(now), bothAddress))
			e.Handle(now, opening(int(now)%2000, webAddress))
			e.recordAdmission(now, &flow{target: e.view.Load().serving["web"][0], route: e.routes.get(bothAddress)}, true)
			e.Tick(now)
		}
	}
	shares := e.AdmittedShares() // of api, and of the priorities 0 and 2 of web
	assert.Assert(t, shares[0].Share == 1 && shares[1].Share == 1 && shares[2].Share < 0.1 && e.Refused[NoRoom].Load() > 10, "%+v", shares)
	for i := range 4 {
		p := opening(1000+50*i, webAddress)
		p.Retransmits = 1
		assert.Equal(t, e.Handle(now, p).Action, Forward)
	}
}
