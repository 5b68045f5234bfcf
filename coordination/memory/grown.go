package memory

// doubledBytes is the size, in bytes, below which a buffer grows to twice its size. A
// larger one grows by a quarter: doubled, it would take up to as much again as it needs,
// and be refused for that. The additional copies cost some ms for 16 MB.
const doubledBytes = 1 << 20

// GrownSize returns the next size of a full buffer: at least first, at most most. It returns
// size itself where the buffer may not grow.
func GrownSize(size, first, most int) int {
	more := size
	if size >= doubledBytes {
		more = size / 4
	}
	return max(size, min(max(size+more, first), most))
}
