package guarder

// headMeter measures the head of a request while it is read: its bytes and its lines, with the
// empty ones in front of it.
type headMeter struct {
	bytes, lines int
	// hasBegun is set by the first byte that is not part of an empty line.
	hasBegun bool
	// hasText reports that the current line is not empty.
	hasText bool
	// isDone is set at the empty line that ends the head. What follows is not measured.
	isDone bool
}

// add measures further bytes.
func (m *headMeter) add(p []byte) {
	for _, b := range p {
		if m.isDone {
			return
		}
		m.bytes++
		switch b {
		case '\r':
		case '\n':
			m.lines++
			m.isDone = m.hasBegun && !m.hasText
			m.hasText = false
		default:
			m.hasBegun, m.hasText = true, true
		}
	}
}

// exceeds reports whether the head has more bytes or lines than allowed.
func (m *headMeter) exceeds(maxBytes, maxLines int) bool {
	return m.bytes > maxBytes || m.lines > maxLines
}
