package peeker

import (
	"bytes"

	"github.com/go-faster/errors"
)

// ErrNoStatus reports that what arrived where an answer is expected does not begin with a status line of
// HTTP/1.
var ErrNoStatus = errors.New("no status line")

// StatusBytes is the number of bytes of a status line that ParseStatus takes: HTTP/1.1 200 and what follows.
const StatusBytes = 13

// Bounds of the statuses that HTTP defines (RFC 9110, section 15).
const (
	minStatus = 100
	maxStatus = 599
)

// ParseStatus returns the status in the first StatusBytes bytes of a status line. The error is
// ErrNoStatus.
func ParseStatus(line []byte) (status int, err error) {
	const version, digits = "HTTP/1.", 3
	rest, isHTTP := bytes.CutPrefix(line[:StatusBytes], []byte(version))
	if !isHTTP || !isDigit(rest[0]) || rest[1] != ' ' {
		return 0, ErrNoStatus
	}
	rest = rest[2:]
	for _, b := range rest[:digits] {
		if !isDigit(b) {
			return 0, ErrNoStatus
		}
		status = 10*status + int(b-'0')
	}
	if status < minStatus || status > maxStatus || !bytes.ContainsRune([]byte(" \r\n"), rune(rest[digits])) {
		return 0, ErrNoStatus
	}
	return status, nil
}

func isDigit(b byte) bool { return '0' <= b && b <= '9' }
