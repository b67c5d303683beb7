package poster

import "github.com/crocusring/crocusring/internal/wire/peeker"

// statusScanner checks the status lines in the bytes of an answer as they arrive: those of interim (1xx)
// heads and that of the final one. The HTTP client takes a status of 0 for 200. The zero value is ready
// for a new answer.
type statusScanner struct {
	// line holds the first bytes of the present head.
	line []byte
	// isInterim is set while the rest of an interim head is skipped, and isLineEmpty while nothing of its
	// present line has arrived.
	isInterim, isLineEmpty bool
	// isDone is set once the status of the final head is known.
	isDone bool
}

// scan checks the next bytes of the answer. The error is peeker.ErrNoStatus.
func (s *statusScanner) scan(p []byte) error {
	for _, b := range p {
		if s.isDone {
			return nil
		}
		if s.isInterim {
			s.skip(b)
			continue
		}
		s.line = append(s.line, b)
		if len(s.line) < peeker.StatusBytes {
			continue
		}
		if err := s.endLine(); err != nil {
			return err
		}
	}
	return nil
}

// endLine checks the beginning of a status line.
func (s *statusScanner) endLine() error {
	const firstFinal = 200
	status, err := peeker.ParseStatus(s.line)
	if err != nil {
		return err
	}
	s.isDone = status >= firstFinal
	s.isInterim = !s.isDone
	s.isLineEmpty = s.line[peeker.StatusBytes-1] == '\n'
	return nil
}

// skip skips a byte of an interim head, which an empty line ends.
func (s *statusScanner) skip(b byte) {
	switch {
	case b == '\r':
	case b != '\n':
		s.isLineEmpty = false
	case !s.isLineEmpty:
		s.isLineEmpty = true
	default:
		*s = statusScanner{}
	}
}
