package e2e

import (
	"fmt"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/weldstream/weldstream/internal/standin"
	"github.com/weldstream/weldstream/protocol"
)

// unacceptingAddress returns an address at which connections are neither accepted
// nor refused, because the listener's backlog is full.
func unacceptingAddress(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	address := fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
	for {
		conn, err := net.DialTimeout("tcp", address, 300*time.Millisecond)
		if err != nil {
			return address // The backlog is full: this attempt timed out.
		}
		t.Cleanup(func() { conn.Close() })
	}
}

// TestKilledBetweenClaimAndDispatch kills an instance after it claimed a request
// and before it sent it to a server. The other instances cannot tell whether it
// was sent, so a resend is not run and is reported as maybe run.
func TestKilledBetweenClaimAndDispatch(t *testing.T) {
	c := newCluster(t, clusterSpec{daemons: 4, replicas: 3, services: 1, settings: "timeouts: {dial: 20s, suspect: 500ms}\n"})
	good := c.listed
	c.listed = []protocol.Instance{{ID: "deaf", Kind: protocol.InstanceService, Service: "gantry", Address: unacceptingAddress(t), Domain: "zone-a"}}
	c.publishInstances()
	c.apply(1, configText())
	d := c.daemons[3]
	charge := request{path: "/services/gantry/charge", body: "x"}.atMostOnce("between")
	go func() { _, _ = d.trySend(charge) }()
	eventually(t, "the claim is taken", func() bool { return c.leader().groupStatus().Claims == 1 })
	d.kill()
	c.listed = good
	c.publishInstances()
	other := c.daemons[0]
	eventually(t, "the working replica is known", func() bool {
		return other.send(request{path: "/services/gantry/plate", body: ""}).status == 200
	})
	a := other.send(charge)
	if a.code(t) != protocol.CodeClaimLost || a.verdict != "may-have-run" {
		t.Errorf("the resend got %d %s %s", a.status, a.verdict, a.body)
	}
	if runs := c.services[0].serviceStats().Runs["between"]; runs != 0 {
		t.Errorf("the call ran %d times", runs)
	}
}

// TestNotRepeatableStreamRunsOnce checks that a caller that disconnects finds its
// answer by its key, and that a request that must run at most once is not
// restarted when its engine is killed in mid-stream.
func TestNotRepeatableStreamRunsOnce(t *testing.T) {
	c := newCluster(t, clusterSpec{daemons: 3, engines: 2, engineFlags: []string{"-token-time", "20ms"}})
	c.apply(1, configText())
	left := completion("notice", "left", 30, true).atMostOnce("left")
	s := c.daemons[0].openStream(left)
	s.next()
	s.close()
	again := c.daemons[1].openStream(left)
	if got, want := again.readRest(), standin.AnswerText("left", 30); got != want || !again.done {
		t.Errorf("the resend got %q (%+v), want %q", got, again.err, want)
	}
	killed := c.daemons[0].openStream(completion("notice", "killed", 100, true).atMostOnce("killed"))
	killed.next()
	c.engineOf("killed").kill()
	killed.readRest()
	if killed.done || killed.err == nil || killed.err.Verdict != protocol.MayHaveRun {
		t.Errorf("the killed answer ended with %+v", killed.err)
	}
	resend := c.daemons[2].send(completion("notice", "killed", 100, true).atMostOnce("killed"))
	if resend.verdict == "ran" || resend.verdict == "not-run" && resend.code(t) != protocol.CodeKeyReused {
		t.Errorf("a resend of the killed request got %d %s %s", resend.status, resend.verdict, resend.body)
	}
	runs := map[string]int{}
	for _, e := range c.engines {
		if !e.alive() {
			continue
		}
		for key, n := range e.engineStats().Runs {
			runs[key] += n
		}
	}
	if runs["left"] > 1 || runs["killed"] > 0 {
		t.Errorf("runs on the remaining engines: %v", runs)
	}
}

// TestLateAnswer suspends an engine until its attempt times out, and resumes it.
// The chunks that it then sends do not reach the caller.
func TestLateAnswer(t *testing.T) {
	c := newCluster(t, clusterSpec{daemons: 1, engines: 2, engineFlags: []string{"-token-time", "20ms"}, settings: "timeouts: {chunk_gap: 400ms}\n"})
	c.apply(1, configText())
	s := c.daemons[0].openStream(completion("docket-summary", "late", 60, true))
	s.next()
	frozen := c.engineOf("late")
	frozen.signal(syscall.SIGSTOP)
	for s.text.Len() < len(standin.AnswerText("late", 30)) && s.next() {
	}
	frozen.signal(syscall.SIGCONT)
	if got, want := s.readRest(), standin.AnswerText("late", 60); got != want || !s.done {
		t.Errorf("got %q (%+v), want %q", got, s.err, want)
	}
}

// TestRefusedResend resends a call that already ran and must run at most once,
// first while the instance is at its stream limit and then while it is stopping.
// It refuses the resend without looking up the claim, so it must not report the
// request as not run.
func TestRefusedResend(t *testing.T) {
	c := newCluster(t, clusterSpec{daemons: 1, engines: 1, services: 1, settings: "limits: {streams: 1}\n"})
	c.apply(1, configText())
	d := c.daemons[0]
	charge := request{path: "/services/gantry/charge", body: "{}"}.atMostOnce("charge-1")
	if got := d.send(charge); got.status != 200 {
		t.Fatalf("the first send got %d: %s", got.status, got.body)
	}
	s := d.openStream(completion("docket-summary", "long", 4000, true))
	defer s.close()
	s.next()
	check := func(what string, got answer) {
		t.Helper()
		if got.status < 429 || got.verdict != protocol.MayHaveRun.String() || !strings.Contains(string(got.body), `"this_send":"not-run"`) {
			t.Errorf("%s: the resend got %d, verdict %s: %s", what, got.status, got.verdict, got.body)
		}
	}
	check("at the stream limit", d.send(charge))
	fresh := completion("docket-summary", "fresh", 4, false)
	if got := d.send(fresh); got.verdict != protocol.NotRun.String() {
		t.Errorf("a request without a key that was refused has the verdict %s", got.verdict)
	}
	d.signal(syscall.SIGTERM)
	eventually(t, "new requests are refused because the instance is leaving", func() bool {
		got, err := d.trySend(fresh)
		return err == nil && got.status == 503 && got.code(t) == protocol.CodeLeaving
	})
	check("stopping", d.send(charge))
}

// TestResumePastTheEnd resumes a new answer and a kept one after an event ID that
// neither has. Both resumes fail instead of returning an empty, complete answer.
func TestResumePastTheEnd(t *testing.T) {
	c := newCluster(t, clusterSpec{daemons: 1, engines: 1})
	c.apply(1, configText())
	d := c.daemons[0]
	kept := completion("notice", "kept", 5, true).atMostOnce("kept")
	if s := d.openStream(kept); s.readRest() != standin.AnswerText("kept", 5) || !s.done {
		t.Fatalf("the first send ended with %+v", s.err)
	}
	fresh := completion("docket-summary", "fresh", 5, true).with(protocol.HeaderKey, "fresh")
	for name, a := range map[string]request{"kept": kept, "fresh": fresh} {
		got := d.send(a.with(protocol.HeaderLastEvent, "999999"))
		if got.status != 400 || got.code(t) != protocol.CodeNoEvent || got.verdict == protocol.NotRun.String() {
			t.Errorf("%s: got %d, verdict %s: %s", name, got.status, got.verdict, got.body)
		}
	}
	if s := d.openStream(kept.with(protocol.HeaderLastEvent, "5")); s.readRest() != "" || !s.done {
		t.Errorf("resumed at the end: %q, %+v", s.text.String(), s.err)
	}
}
