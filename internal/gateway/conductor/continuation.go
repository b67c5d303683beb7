package conductor

import (
	"mime"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
)

// errNoContinuation reports that the answer of a target does not go on with the stream that its
// caller has begun to receive.
var errNoContinuation = errors.New("answer is no continuation of the stream")

// continuation checks that an answer goes on with a stream that has begun. The zero value is for
// an answer that begins a stream.
type continuation struct {
	// lastEvent is the ID of the last event that the caller has; empty if this answer begins the
	// stream, or once its first event was checked.
	lastEvent string
	// isContinued is set if the caller has had events of an earlier answer, and hasEvents once
	// this one has had some.
	isContinued bool
	hasEvents   bool
}

// newContinuation returns the check for an answer with a content type. The error is
// errNoContinuation if the stream has begun with another one.
func (r *reply) newContinuation(contentType string) (continuation, error) {
	mediaType, _, err := mime.ParseMediaType(contentType)
	if err != nil {
		mediaType = contentType
	}
	if !r.headSent {
		r.mediaType = mediaType
		return continuation{}, nil
	}
	if mediaType != r.mediaType {
		return continuation{}, errors.Wrapf(errNoContinuation, "content type %q", contentType)
	}
	return continuation{lastEvent: r.lastEvent, isContinued: true}, nil
}

// check checks the next events of the answer. The error is errNoContinuation if the first of
// them does not follow the last one that the caller has.
func (c *continuation) check(events []byte) error {
	if !c.hasEvents && c.isContinued && !follows(firstEventID(events), c.lastEvent) {
		return errors.Wrapf(errNoContinuation, "event %q after %q", firstEventID(events), c.lastEvent)
	}
	c.hasEvents = true
	return nil
}

// isEmpty reports whether a continuation has brought nothing. That does not show that the
// stream was complete.
func (c *continuation) isEmpty() bool { return c.isContinued && !c.hasEvents }

// follows reports whether an event with an ID can follow another one. IDs that are numbers
// increase.
func follows(id, last string) bool {
	n, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return id != "" && id != last
	}
	lastNumber, err := strconv.ParseInt(last, 10, 64)
	return err != nil || n > lastNumber
}

// firstEventID returns the ID of the first of some events; empty if it has none.
func firstEventID(events []byte) string {
	text := strings.NewReplacer("\r\n", "\n", "\r", "\n").Replace(string(events))
	id, hasData := "", false
	for line := range strings.SplitSeq(text, "\n") {
		if line == "" && (hasData || id != "") {
			break
		}
		name, value, _ := strings.Cut(line, ":")
		switch name {
		case "id":
			id = strings.TrimSpace(value)
		case "data":
			hasData = true
		}
	}
	return id
}
