package memory

import "testing"

// TestGrownSize checks that a buffer starts with the initial size, doubles while it is
// small, grows by a quarter when it is large, and stops at the maximum.
func TestGrownSize(t *testing.T) {
	const initial, maximum = 16 << 10, 4<<20 + 1
	for _, c := range []struct{ size, want int }{
		{0, initial}, {initial, 2 * initial}, {512 << 10, 1 << 20}, {1 << 20, 1280 << 10}, {4 << 20, maximum}, {maximum, maximum},
	} {
		if got := GrownSize(c.size, initial, maximum); got != c.want {
			t.Errorf("%d grows to %d, want %d", c.size, got, c.want)
		}
	}
	if got := GrownSize(0, initial, 100); got != 100 {
		t.Errorf("with a maximum of 100 it starts with %d", got)
	}
}
