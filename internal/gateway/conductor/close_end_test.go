package conductor_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// dyingTarget returns a target whose process ends with its first answer: nobody listens at its
// address any more, and the connection is closed without a reset.
func dyingTarget(t *testing.T, answer *rawAnswer) *target {
	t.Helper()
	var x *target
	x = newTarget(t, func(w net.Conn, r *http.Request, _ int) bool {
		x.listener.Close()
		return answer.write(w, r.Header.Get("Test-Id"))
	})
	return x
}

// TestAnswerOfEndedTargetIsNotWhole guards against half an answer without a length that reaches its
// caller as a whole one: the operating system closes the connections of a killed process without
// a reset.
func TestAnswerOfEndedTargetIsNotWhole(t *testing.T) {
	long := strings.Repeat("x", 100<<10)
	for path, pieces := range map[string][]string{"/stream/": eventPieces(1, 5), "/unsafe/": {"some", "body"}, "/safe/": {long, "end"}} {
		t.Run(path, func(t *testing.T) {
			a := &rawAnswer{framing: byClose, pieces: pieces}
			a.cutAt = len(strings.Join(pieces[:len(pieces)-1], ""))
			response, body, err := send(t, setup(t, dyingTarget(t, a)), "POST", path, "b")
			requireBroken(t, response, body, err, body)
		})
	}
	t.Run("goes on at another target", func(t *testing.T) {
		half := &rawAnswer{framing: byClose, pieces: eventPieces(1, 5), cutAt: len(events(1, 2))}
		rest := newTarget(t, func(w net.Conn, r *http.Request, _ int) bool {
			from := 1
			if last := r.Header.Get("Test-Last"); last != "" {
				_, _ = fmt.Sscan(last, &from)
				from++
			}
			return (&rawAnswer{framing: byLength, pieces: eventPieces(from, 5), cutAt: -1}).write(w, r.Header.Get("Test-Id"))
		})
		began := time.Now()
		response, body, err := send(t, setup(t, dyingTarget(t, half), rest), "POST", "/resume/", "b")
		requireWhole(t, began, response, body, err, events(1, 5))
	})
}

// TestAnswerWhoseEndIsUnknownIsNotWhole guards against taking an answer without a length for whole
// if nothing tells whether its target goes on: new connections are reset.
func TestAnswerWhoseEndIsUnknownIsNotWhole(t *testing.T) {
	a := &rawAnswer{framing: byClose, pieces: []string{"some", "body"}, cutAt: -1}
	var x *target
	x = newTarget(t, func(w net.Conn, r *http.Request, _ int) bool {
		x.resetsNew.Store(true)
		return a.write(w, r.Header.Get("Test-Id"))
	})
	response, body, err := send(t, setup(t, x), "POST", "/unsafe/", "b")
	requireBroken(t, response, body, err, "")
	assert.NotEqual(t, "somebody", body)
}
