package entry

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/amaranthswitch/amaranthswitch/amaranthd/operator"
	"github.com/amaranthswitch/amaranthswitch/fleet/catalog"
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/forward"
	"github.com/amaranthswitch/amaranthswitch/fleet/replica"
)

// TestWhere guards against a query that is answered for another flow than the one
// named, and against a bad query that stops the daemon or gets no clear error.
func TestWhere(t *testing.T) {
	to := netip.MustParseAddrPort("198.51.100.1:443")
	b := catalog.NewBuilder(func(item replica.Item) (c catalog.Change, err error) {
		if item.Key == "config" {
			target := []catalog.Target{{Service: "web", Weight: 1}}
			c.Config = &catalog.Config{Version: 7, Services: []catalog.Service{{Name: "web"}}, Routes: []catalog.Route{
				{Name: "feed", Address: to, Targets: target, Priority: 2},
				{Name: "six", Address: netip.MustParseAddrPort("[2001:db8::1]:443"), Targets: target},
			}}
			return c, nil
		}
		c.Upstream = &catalog.Upstream{ID: "i-1", Service: "web", Domain: "a", Slots: 2, Address: netip.MustParseAddrPort("10.0.0.1:80")}
		return c, nil
	}, nil, 0)
	b.Apply(1, []replica.Item{{Key: "config", Revision: 1}, {Key: "i-1", Revision: 2}}, false)
	d := &Daemon{settings: Settings{VM: "vm", Domain: "a"}, clk: clock.System(), engine: forward.New("vm", "a"), replicator: newTestReplicator(&fakeSource{}, nil)}
	d.engine.SetCatalog(b.Build(2))
	server := httptest.NewServer(operator.Query(d.where))
	defer server.Close()

	tests := []struct {
		query  string
		status int
		want   string
	}{
		{"route=feed", 200, "i-1"},
		{"to=198.51.100.1:443&from=100.64.0.1:9", 200, "i-1"},
		{"to=198.51.100.1:444", 200, "noRoute"},
		{"route=none", 404, `no route "none"`},
		{"route=six", 404, `no route "six"`},
		{"route=feed&to=198.51.100.1:443", 400, "one of to and route"},
		{"from=100.64.0.1:9", 400, "one of to and route"},
		{"to=198.51.100.1", 400, "parameter to"},
		{"to=[2001:db8::1]:443", 400, "not an IPv4 address"},
		{"route=feed&from=", 400, "parameter from"},
		{"route=%zz", 400, "parse query"},
	}
	for _, test := range tests {
		resp, err := http.Get(server.URL + wherePath + "?" + test.query)
		assert.NilError(t, err)
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, test.status, test.query)
		assert.Assert(t, strings.Contains(string(body), test.want), "%s: %s", test.query, body)
		var w Where
		if test.status == 200 {
			assert.NilError(t, json.Unmarshal(body, &w))
			assert.Equal(t, w.FromAssumed, !strings.Contains(test.query, "from"))
			assert.Equal(t, w.Version, d.engine.Catalog().Config.Version)
		}
	}
}
