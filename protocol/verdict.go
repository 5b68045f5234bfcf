package protocol

import "fmt"

// Verdict tells whether a request may have been executed by a backend server. The zero
// value is the conservative one, so that an unset field never permits a retry.
type Verdict uint8

// The verdicts, from the one that forbids a retry to the one that permits it.
const (
	// MayHaveRun means that a backend server may have acted on the request.
	MayHaveRun Verdict = iota
	// Ran means that the request was executed to completion.
	Ran
	// NotRun means that no backend server has acted on the request and none will.
	NotRun
)

var verdictNames = [...]string{MayHaveRun: "may-have-run", Ran: "ran", NotRun: "not-run"}

// String returns the name used in headers, bodies and log lines.
func (v Verdict) String() string {
	if int(v) < len(verdictNames) {
		return verdictNames[v]
	}
	return fmt.Sprintf("verdict(%d)", uint8(v))
}

// MarshalText encodes the verdict as its name.
func (v Verdict) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// UnmarshalText decodes a verdict from its name.
func (v *Verdict) UnmarshalText(text []byte) error {
	for i, name := range verdictNames {
		if name == string(text) {
			*v = Verdict(i)
			return nil
		}
	}
	return fmt.Errorf("unknown verdict %q", text)
}

// AllowsRetry reports whether a request with this verdict may be retried. A repeatable
// request always may; any other request only if it was certainly not executed.
func (v Verdict) AllowsRetry(repeatable bool) bool {
	return repeatable || v == NotRun
}
