package memory

import "testing"

// TestGrown checks that a buffer begins with the first size, doubles while it is small,
// grows by a quarter when it is large, and ends at the most.
func TestGrown(t *testing.T) {
	const first, most = 16 << 10, 4<<20 + 1
	for _, c := range []struct{ size, want int }{
		{0, first}, {first, 2 * first}, {512 << 10, 1 << 20}, {1 << 20, 1280 << 10}, {4 << 20, most}, {most, most},
	} {
		if got := GrownSize(c.size, first, most); got != c.want {
			t.Errorf("%d grows to %d, want %d", c.size, got, c.want)
		}
	}
	if got := GrownSize(0, first, 100); got != 100 {
		t.Errorf("with a most of 100 it begins with %d", got)
	}
}
