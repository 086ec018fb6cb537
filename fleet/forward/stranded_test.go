package forward

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/amaranthswitch/amaranthswitch/fleet/catalog"
)

// TestStranded asks a VM whose failure domain is out of service and that hears no
// other one. Two upstreams elsewhere that wait in vain are enough: it need not
// find each of a hundred silent.
func TestStranded(t *testing.T) {
	e := New("vm", "a")
	var list []catalog.Upstream
	for i := range 100 {
		list = append(list, upstream(i+1, "web", "b"))
	}
	e.SetCatalog(published(1, 0, list...))
	for i := range 2 {
		e.Handle(1000, opening(i, webAddress))
	}
	assert.Assert(t, !e.Stranded(1100))
	for i := range 2 {
		p := opening(i, webAddress)
		p.Retransmits = 1
		e.Handle(1200, p)
	}
	assert.Assert(t, e.Stranded(1200))

	e.SetCatalog(published(1300, 0, append(list, upstream(101, "web", "a"))...))
	assert.Assert(t, !e.Stranded(1300), "an upstream of its own is left")
}

// TestStrandedSinceStart asks a VM that started behind a partition and has sent
// nothing yet.
func TestStrandedSinceStart(t *testing.T) {
	e := New("vm", "a")
	e.SetCatalog(published(1, 0, upstream(1, "web", "b")))
	assert.Assert(t, !e.Stranded(1000))
	e.SetPartitioned("b", true)
	assert.Assert(t, e.Stranded(1000))
}
