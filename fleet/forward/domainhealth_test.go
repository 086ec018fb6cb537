package forward

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/amaranthswitch/amaranthswitch/fleet/catalog"
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
)

// domainEngine returns an engine of failure domain a, with a flow of the service api there,
// and the given number of upstreams of the service web in failure domain b.
func domainEngine(upstreams int) (e *Engine, tokens []catalog.Token) {
	e = New("vm", "a")
	list := []catalog.Upstream{upstream(100, "api", "a")}
	for i := range upstreams {
		list = append(list, upstream(i+1, "web", "b"))
	}
	e.SetCatalog(published(1, 0, list...))
	for _, t := range e.view.Load().serving["web"] {
		tokens = append(tokens, t.entry.Token)
	}
	return e, tokens
}

// TestLostDatagramBesideACrash guards against the reset of an open flow to a healthy
// upstream that lost one datagram, because other upstreams of its failure domain crashed.
func TestLostDatagramBesideACrash(t *testing.T) {
	for crashed := 1; crashed <= 3; crashed++ {
		e, tokens := domainEngine(crashed + 1)
		for n, token := range tokens[:crashed] {
			for i := range 4 {
				sendRequest(e, 2000, token, 10*n+i)
			}
		}
		arrives(e, 1, 2150, 2160)
		for n, token := range tokens[:crashed] {
			for i := range 4 {
				sendRequest(e, 2200, token, 10*n+i)
			}
		}
		healthy := tokens[crashed]
		assert.Equal(t, sendRequest(e, 3800, healthy, 99), Forward)
		arrives(e, 2, 3950, 3960)
		assert.Equal(t, sendRequest(e, 4000, healthy, 99), Forward, "%d upstreams crashed", crashed)
		assert.Equal(t, sendRequest(e, 4400, healthy, 99), Forward, "%d upstreams crashed, two transmissions were lost", crashed)
		assert.Equal(t, len(e.PendingResets(4400)), 2*crashed, "the stalled flows of the crashed upstreams but for those that were reset by their own packets")
	}
}

// TestCrashedUpstreamKeepsDomain guards against a failure domain that gets no new flows
// because one of its upstreams crashed and a flow to another one lost a datagram.
func TestCrashedUpstreamKeepsDomain(t *testing.T) {
	stall := func(e *Engine, token catalog.Token, flows, firstFlow int) {
		for i := range flows {
			sendRequest(e, 2000, token, firstFlow+i)
		}
		arrives(e, firstFlow, 2150, 2160)
		for i := range flows {
			sendRequest(e, 2300, token, firstFlow+i)
		}
	}
	tests := []struct {
		name  string
		flows []int // stalled flows of each upstream
		want  condition
	}{
		{"one crashed", []int{9, 0}, answering},
		{"one crashed, one lost datagram", []int{9, 1}, silent},
		{"one crashed, two lost datagrams", []int{9, 2}, silent},
		{"partitioned", []int{3, 3}, lost},
		{"partitioned, a flow to each", []int{1, 1, 1, 1}, lost},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			e, tokens := domainEngine(len(test.flows))
			for i, flows := range test.flows {
				stall(e, tokens[i], flows, 10*i)
			}
			d := e.domainHealth("b")
			assert.Equal(t, d.current().String(), test.want.String())
			assert.Equal(t, d.avoided(), test.want == lost)
		})
	}
}

// TestDomainStallsExpire guards against a failure domain that is taken for silent because
// of datagrams that were lost long before one another.
func TestDomainStallsExpire(t *testing.T) {
	var d domainHealth
	for i := range 6 {
		at := clock.Millis(1000 + i*int(stallTTL+1))
		d.recordStall(at+200, &stallReport{sentAt: at, upstream: &upstreamLoad{}, pathAckedAt: at + 1})
		assert.Equal(t, d.current(), answering)
	}
}
