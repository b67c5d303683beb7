package splitter

// scanner finds the ends of server-sent events. An event ends with an empty line, and a
// line ends with LF, CR or CRLF. The zero value is at the start of a stream.
type scanner struct {
	// inEvent is set between the first byte of an event and the empty line that ends it.
	inEvent bool
	inLine  bool
	// afterCR is set if the last byte was a CR: an LF then belongs to the same line end.
	afterCR bool
	// hasEvents is set once an event has ended. Empty lines alone are none.
	hasEvents bool
}

// scan reads the next bytes of a stream and returns the number of them up to the end of
// the last event that ends among them; 0 if none does.
func (s *scanner) scan(p []byte) int {
	end := 0
	for i, b := range p {
		switch {
		case b == '\n' && s.afterCR:
			s.afterCR = false
			if !s.inEvent {
				end = i + 1
			}
		case b == '\n' || b == '\r':
			s.afterCR = b == '\r'
			if !s.inLine {
				s.hasEvents = s.hasEvents || s.inEvent
				s.inEvent = false
				end = i + 1
			}
			s.inLine = false
		default:
			s.inEvent, s.inLine, s.afterCR = true, true, false
		}
	}
	return end
}
