package soak

import (
	"fmt"
	"net/http"
	"strings"
	"sync"

	"github.com/weldstream/weldstream/platform/standin"
)

// Request is one request of a caller.
type Request struct {
	ID          string
	Path        string
	AtMostOnce  bool // AtMostOnce marks a request that may run no more than once.
	Stream      bool
	LargeReply  bool // LargeReply marks a request whose reply repeats the body many times.
	AbortedBody bool // AbortedBody marks a request whose caller disconnects in the middle of the body, so that it must not run.
	Padding     int  // Padding is the number of bytes that are added to the body.
}

// wantBody returns the reply body that the caller of a request without a stream must get.
func (a Request) wantBody() string {
	body := standin.Body(a.ID, a.Padding)
	if a.LargeReply {
		return standin.Large(a.ID, body)
	}
	return fmt.Sprintf("done %s %s", a.ID, body)
}

// Checker compares what callers got with what backend servers received.
type Checker struct {
	record *standin.Record

	mu       sync.Mutex // mu guards the fields below.
	breaches []string
	requests map[string]Request
	replies  map[string]standin.Reply
	served   int
}

// NewChecker returns a checker over a record.
func NewChecker(r *standin.Record) *Checker {
	return &Checker{record: r, requests: map[string]Request{}, replies: map[string]standin.Reply{}}
}

func (k *Checker) breach(format string, args ...any) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.breaches = append(k.breaches, fmt.Sprintf(format, args...))
}

// Observe records a request with its reply and checks what one reply can show.
func (k *Checker) Observe(a Request, r standin.Reply) {
	k.mu.Lock()
	k.requests[a.ID], k.replies[a.ID] = a, r
	if r.Complete && r.Status == http.StatusOK {
		k.served++
	}
	k.mu.Unlock()
	if isHeldRefusal(r) {
		k.breach("%s: refused as a request that ends servers, which it is not", a.ID)
	}
	if !r.Complete || r.Status != http.StatusOK {
		return
	}
	if a.Stream {
		if r.Body != standin.Stream() {
			k.breach("%s: a stream came as %q", a.ID, r.Body)
		}
		return
	}
	if r.Body != a.wantBody() || !strings.HasPrefix(r.Seal, a.ID+".") {
		k.breach("%s: got %.200q (%d bytes) signed %q", a.ID, r.Body, len(r.Body), r.Seal)
	}
}

// Finish checks how often each request ran, which is known only at the end of a run.
func (k *Checker) Finish() {
	for id, a := range k.requests {
		runs, r := k.record.Runs(id), k.replies[id]
		if a.AtMostOnce && len(runs) > 1 {
			k.breach("%s ran %d times", id, len(runs))
		}
		if a.AbortedBody && len(runs) > 0 {
			k.breach("%s ran though its body was never whole", id)
		}
		if promised := r.Status == http.StatusServiceUnavailable || r.Status == http.StatusTooManyRequests; promised && a.AtMostOnce && len(runs) > 0 {
			k.breach("%s was refused with %d and ran", id, r.Status)
		}
		for _, run := range runs {
			if run.Tenant != standin.Tenant || run.Path != a.Path || run.Body != standin.Body(id, a.Padding) {
				k.breach("%s ran as %.300v", id, run)
			}
		}
	}
}

// Served returns the number of complete replies with status 200.
func (k *Checker) Served() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.served
}

// Breaches returns the guarantees that were broken, one text each.
func (k *Checker) Breaches() []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return append([]string(nil), k.breaches...)
}

// Operator writes configurations and reads them back.
type Operator struct {
	addresses []string
	client    http.Client
	checker   *Checker
	next      int
	acked     uint64 // acked is the highest configuration number that was acknowledged.
}

// NewOperator returns an operator that talks to the control instances of a cluster.
func NewOperator(c *Cluster, k *Checker) *Operator {
	return &Operator{addresses: c.Operators(), client: http.Client{Timeout: operatorTimeout}, checker: k}
}

// Put sends a configuration to the next control instance in turn and reports whether it
// was acknowledged.
func (o *Operator) Put(number uint64) bool {
	at := o.addresses[o.next%len(o.addresses)]
	o.next++
	switch status := standin.Replace(&o.client, at, number); {
	case status == http.StatusOK:
		o.acked = max(o.acked, number)
		return true
	case status != 0 && status < http.StatusInternalServerError:
		o.checker.breach("configuration %d was answered %d", number, status)
	}
	return false
}

// Get reads the configuration back from one control instance and checks that it is no
// older than the last acknowledged one. It reports whether a configuration was returned.
func (o *Operator) Get(i int) bool {
	data, ok := standin.Fetch(&o.client, o.addresses[i%len(o.addresses)])
	if !ok {
		return false
	}
	number, ok := standin.Number(data)
	if !ok {
		o.checker.breach("read back %.80q", data)
		return false
	}
	if number < o.acked {
		o.checker.breach("read back %d after %d was acknowledged", number, o.acked)
	}
	return true
}
