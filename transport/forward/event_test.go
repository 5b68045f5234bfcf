package forward

import (
	"testing"

	"pgregory.net/rapid"
)

// TestSplitReadsOfEvents checks that a stream yields the same bytes however it is split into reads, and
// that no byte of an incomplete line is searched again.
func TestSplitReadsOfEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.StringOfN(rapid.SampledFrom([]rune("ab:\r\n\r\n")), 0, 60, -1).Draw(t, "text")
		var whole, split events
		want := string(whole.append([]byte(text))) + string(whole.partial)
		var got []byte
		for rest := []byte(text); len(rest) > 0; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "read")
			got = append(got, split.append(rest[:n])...)
			rest = rest[n:]
			if left := len(split.partial) - split.searched; left > len("\r") {
				t.Fatalf("%d bytes of %q are searched again", left, split.partial)
			}
		}
		if got := string(got) + string(split.partial); got != want {
			t.Fatalf("%q became %q, want %q", text, got, want)
		}
	})
}
