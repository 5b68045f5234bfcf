package protocol

import "fmt"

// Verdict says whether a request may have run on a backend server. The zero
// value is the careful one, so that a forgotten field never permits a retry.
type Verdict uint8

// The verdicts, from the one that forbids a retry to the one that permits it.
const (
	// MayHaveRun means that a backend server may have acted on the request.
	MayHaveRun Verdict = iota
	// Ran means that the request ran to its end.
	Ran
	// NotRun means that no backend server acted on the request and none will.
	NotRun
)

var verdictNames = [...]string{MayHaveRun: "may-have-run", Ran: "ran", NotRun: "not-run"}

// String returns the name that headers, bodies and log lines use.
func (v Verdict) String() string {
	if int(v) < len(verdictNames) {
		return verdictNames[v]
	}
	return fmt.Sprintf("verdict(%d)", uint8(v))
}

// MarshalText renders the verdict by its name.
func (v Verdict) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// UnmarshalText reads a verdict by its name.
func (v *Verdict) UnmarshalText(text []byte) error {
	for i, name := range verdictNames {
		if name == string(text) {
			*v = Verdict(i)
			return nil
		}
	}
	return fmt.Errorf("unknown verdict %q", text)
}

// AllowsRetry reports whether a request with this verdict may be tried again.
// A repeatable request may be tried whatever became of the earlier attempt; any
// other only when it certainly did not run.
func (v Verdict) AllowsRetry(repeatable bool) bool {
	return repeatable || v == NotRun
}
