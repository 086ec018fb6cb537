package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const testAnswer = `{"vm":"v1","domain":"a","version":7,"revision":20,"copyAgeMillis":94,"to":"198.51.100.1:443","from":"192.0.2.1:1024",
"fromAssumed":true,"placement":{"action":"forward","reason":"none","route":"feed","priority":2,"service":"web",
"admission":{"controlled":true,"share":0.05,"pressure":0.31,"limit":0.25,"verdict":"reject","roomOverrides":true},"upstream":"i-2","rule":"lowestCost",
"candidates":[{"id":"i-1","address":"10.0.0.1:80","domain":"a","class":"answering","health":"answering","closed":"draining"},
{"id":"i-2","address":"10.0.0.2:80","domain":"a","cost":0.5,"slots":2,"slowness":1.69,"ownRejections":0.2,"excessRejections":0.1,"class":"answering","health":"answering","accepts":true}]}}`

// TestWhere guards against a query of another flow than the one named, and against
// failures that are taken for answers.
func TestWhere(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.RequestURI() != "/where?route=feed" && r.URL.RequestURI() != "/where?from=100.64.0.1%3A9&to=198.51.100.1%3A443" {
			http.Error(w, "no route", http.StatusNotFound)
			return
		}
		_, _ = w.Write([]byte(testAnswer))
	}))
	defer server.Close()
	vm := strings.TrimPrefix(server.URL, "http://")
	tests := []struct {
		args string
		want string // in the output, or in the error if fails is set
		fail bool
	}{
		{"--route feed " + vm, "forward to i-2 (lowest cost of those that answer)", false},
		{"--route feed " + vm, "tie break", false},
		{"--route feed " + vm, "reject, but placed since the upstream of lowest cost has room (share 0.05 of such flows is admitted, pressure 0.31, limit 0.25)", false},
		{"--route feed " + vm, "2      1.69      0.20            0.10               answering", false},
		{"--route feed " + vm, "no: draining", false},
		{vm + " --to 198.51.100.1:443 --from 100.64.0.1:9", "revision 20, copy confirmed 94 ms ago", false},
		{"--route none " + vm, "404 Not Found: no route", true},
		{"--route feed 127.0.0.1:1", "connection refused", true},
		{"--route feed 127.0.0.1", "is not a host and port", true},
		{"--to 198.51.100.1 " + vm, "--to", true},
		{"--route feed --from nowhere " + vm, "--from", true},
		{"--route feed --to 198.51.100.1:443 " + vm, "exactly one of", true},
		{vm, "exactly one of", true},
		{"--route feed", "one VM", true},
	}
	for _, test := range tests {
		out, err := runCommand(t, "", append([]string{"where"}, strings.Fields(test.args)...)...)
		if test.fail {
			assert.ErrorContains(t, err, test.want)
			continue
		}
		assert.NilError(t, err)
		assert.Assert(t, strings.Contains(out, test.want), out)
	}
	out, err := runCommand(t, "", "where", "--json", "--route", "feed", vm)
	assert.NilError(t, err)
	assert.Assert(t, json.Valid([]byte(out)) && strings.Contains(out, `"upstream": "i-2"`), out)
}

// TestWhereOfHangingVM guards against a query that waits for a VM that never answers.
func TestWhereOfHangingVM(t *testing.T) {
	hang := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-hang }))
	defer server.Close()
	defer close(hang)
	_, err := runCommand(t, "", "where", "--route", "feed", strings.TrimPrefix(server.URL, "http://"))
	assert.ErrorContains(t, err, "deadline exceeded")
}
