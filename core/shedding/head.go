package shedding

// Costs of the head of a request while it is held, in bytes. They cover the strings and the map into which it is
// parsed, the copy that is sent to an endpoint, and what is read from lists in it.
const (
	headByteCost = 4
	headLineCost = 232
	// headCommaCost is the cost of an entry of a list in a line.
	headCommaCost = 64
)

// HeadCost returns the cost of bytes of a head that has the given numbers of lines and commas.
func HeadCost(bytes, lines, commas int) int64 {
	return int64(bytes)*headByteCost + int64(lines)*headLineCost + int64(commas)*headCommaCost
}

// HeadScanner finds the end of a head in the bytes that a caller sends, and the cost of what is read of it. The zero
// value is at the beginning of a head.
type HeadScanner struct {
	lineBytes int // of the current line, without line ends
	lines     int // that are not empty
	ended     bool
}

// Ended reports whether the whole head was read.
func (s *HeadScanner) Ended() bool { return s.ended }

// Begun reports whether the first line was begun.
func (s *HeadScanner) Begun() bool { return s.lines > 0 || s.lineBytes > 0 }

// Scan reads further bytes and returns the cost of those that belong to the head.
func (s *HeadScanner) Scan(b []byte) (cost int64) {
	lines, commas := 0, 0
	for i, c := range b {
		if s.ended {
			return HeadCost(i, lines, commas)
		}
		switch c {
		case '\n':
			lines++
			s.endLine()
		case '\r':
		case ',':
			commas++
			s.lineBytes++
		default:
			s.lineBytes++
		}
	}
	return HeadCost(len(b), lines, commas)
}

func (s *HeadScanner) endLine() {
	if s.lineBytes == 0 {
		s.ended = s.lines > 0
		return
	}
	s.lines++
	s.lineBytes = 0
}
