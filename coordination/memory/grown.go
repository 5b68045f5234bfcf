package memory

// doubledBytes is up to where a buffer doubles. Beyond, a doubled one would ask for up to
// as much again as it needs, and what is a few MB long would be refused for that; copies
// of a quarter more at a time cost some ms for 16 MB.
const doubledBytes = 1 << 20

// Grown is the size of a buffer that grows beyond a size: at least the first, never more
// than the most. It is the size itself where there is no larger one.
func Grown(size, first, most int) int {
	more := size
	if size >= doubledBytes {
		more = size / 4
	}
	return max(size, min(max(size+more, first), most))
}
