package soak

import (
	"fmt"
	"net/http"
	"strings"
	"sync"

	"github.com/weldstream/weldstream/platform/standin"
	"github.com/weldstream/weldstream/protocol"
)

// Ask is one request of a caller.
type Ask struct {
	ID     string
	Path   string
	Once   bool // Once says that it may run once at the most.
	Stream bool
	Large  bool // Large says that the answer holds the body many times.
	Halted bool // Halted says that the caller left in the middle of its body, so that it must not run.
	Pad    int  // Pad are bytes that the body has besides.
}

// answer is what the caller of a plain request gets.
func (a Ask) answer() string {
	body := standin.Body(a.ID, a.Pad)
	if a.Large {
		return standin.Large(a.ID, body)
	}
	return fmt.Sprintf("done %s %s", a.ID, body)
}

// Checker holds what callers see against what backend servers saw.
type Checker struct {
	record *standin.Record

	mu       sync.Mutex // mu guards all below.
	breaches []string
	asks     map[string]Ask
	replies  map[string]standin.Reply
	served   int
}

// NewChecker returns a checker over a record.
func NewChecker(r *standin.Record) *Checker {
	return &Checker{record: r, asks: map[string]Ask{}, replies: map[string]standin.Reply{}}
}

func (k *Checker) breach(format string, args ...any) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.breaches = append(k.breaches, fmt.Sprintf(format, args...))
}

// Note keeps a request with its answer and checks what can be checked at once.
func (k *Checker) Note(a Ask, r standin.Reply) {
	k.mu.Lock()
	k.asks[a.ID], k.replies[a.ID] = a, r
	if r.Complete && r.Status == http.StatusOK {
		k.served++
	}
	k.mu.Unlock()
	if r.Status == http.StatusServiceUnavailable && strings.Contains(r.Body, `"`+string(protocol.CodeQuarantined)+`"`) {
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
	if r.Body != a.answer() || !strings.HasPrefix(r.Seal, a.ID+".") {
		k.breach("%s: got %.200q (%d bytes) signed %q", a.ID, r.Body, len(r.Body), r.Seal)
	}
}

// Finish checks what only the end shows: how often each request ran.
func (k *Checker) Finish() {
	for id, a := range k.asks {
		runs, r := k.record.Runs(id), k.replies[id]
		if a.Once && len(runs) > 1 {
			k.breach("%s ran %d times", id, len(runs))
		}
		if a.Halted && len(runs) > 0 {
			k.breach("%s ran though its body was never whole", id)
		}
		if promised := r.Status == http.StatusServiceUnavailable || r.Status == http.StatusTooManyRequests; promised && a.Once && len(runs) > 0 {
			k.breach("%s was refused with %d and ran", id, r.Status)
		}
		for _, run := range runs {
			if run.Tenant != standin.Tenant || run.Path != a.Path || run.Body != standin.Body(id, a.Pad) {
				k.breach("%s ran as %.300v", id, run)
			}
		}
	}
}

// Served counts the whole answers.
func (k *Checker) Served() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.served
}

// Breaches returns the broken promises.
func (k *Checker) Breaches() []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return append([]string(nil), k.breaches...)
}

// Operator sends configurations and reads them back.
type Operator struct {
	addresses []string
	client    http.Client
	checker   *Checker
	next      int
	acked     uint64 // acked is the highest number that was acknowledged.
}

// NewOperator returns an operator of a cluster.
func NewOperator(c *Cluster, k *Checker) *Operator {
	return &Operator{addresses: c.Operators(), client: http.Client{Timeout: operatorTimeout}, checker: k}
}

// Put sends a configuration to the next instance and reports whether it was
// acknowledged.
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

// Get reads the configuration back at one instance and checks that it is no
// older than what was acknowledged. It reports whether it was told any.
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
