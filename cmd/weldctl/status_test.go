package main

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
)

const leaderDump = `{"id":{"name":"10.1.0.1:80"},"role":"leader","term":7,"leader":{"name":"10.1.0.1:80"},"applied":41,"last":42,"document":5,"lease_left_ms":170,
"domain":"a-1","region":"a","relay":{"gateways":12},
"round_trips":[{"from":"10.1.0.1:80","to":"10.2.0.1:80","smoothed":16250000,"variation":1000000,"loss":0.02},{"from":"10.2.0.1:80","to":"10.1.0.1:80","smoothed":16100000,"variation":900000}]}`

const followerDump = `{"id":{"name":"10.2.0.1:80"},"role":"follower","term":7,"leader":{"name":"10.1.0.1:80"},"applied":40,"last":42,"document":5,
"domain":"b-1","region":"b","relay":{"gateways":30,"cut":true},"round_trips":[{"from":"10.2.0.1:80","to":"10.1.0.1:80","smoothed":1}]}`

// serveDump serves the dump of one control instance and returns its address.
func serveDump(t *testing.T, status int, body string) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// TestStatus checks the output for control instances and that the round trips are those of
// the leader. An instance that does not answer makes the command fail, but the others must
// still be printed.
func TestStatus(t *testing.T) {
	leader, follower := serveDump(t, http.StatusOK, leaderDump), serveDump(t, http.StatusOK, followerDump)
	for name, c := range map[string]struct {
		addresses []string
		code      int
		stderr    string
	}{
		"regions":    {[]string{follower, leader}, exitOK, ""},
		"no_leader":  {[]string{follower}, exitOK, ""},
		"one_silent": {[]string{leader, serveDump(t, http.StatusInternalServerError, "")}, exitFailed, "answered 500"},
		"not_a_dump": {[]string{serveDump(t, http.StatusOK, "{")}, exitFailed, "read the dump"},
		"no_address": {nil, exitUsage, "usage"},
	} {
		t.Run(name, func(t *testing.T) {
			var out, errs bytes.Buffer
			e := env{out: &out, err: &errs}
			if code := run(e, append([]string{"status"}, c.addresses...)); code != c.code || !strings.Contains(errs.String(), c.stderr) {
				t.Errorf("exit code %d, want %d: %s", code, c.code, errs.String())
			}
			goldie.New(t).Assert(t, "status_"+name, out.Bytes())
		})
	}
}
