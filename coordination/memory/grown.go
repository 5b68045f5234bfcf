package memory

// doublingLimit is the size in bytes below which a full buffer doubles. A larger one grows
// by a quarter, since doubling could reserve up to twice the size that it needs, and the
// reservation could be refused for that. The additional copies take a few ms for 16 MB.
const doublingLimit = 1 << 20

// GrownSize returns the next size of a full buffer, between initial and maximum. It returns
// size itself if the buffer may not grow.
func GrownSize(size, initial, maximum int) int {
	more := size
	if size >= doublingLimit {
		more = size / 4
	}
	return max(size, min(max(size+more, initial), maximum))
}
