// Package observer reads what a target of the product's own interface announces in the head
// of an answer: that it drains, or that it wants no requests for a while.
package observer

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"
)

const (
	// headerDraining is present with the value true, beside Connection: close, in every answer
	// of a target that drains. Connection: close alone announces nothing.
	headerDraining = "X-Draining"
	// maxQuietSeconds bounds the times that can be expressed.
	maxQuietSeconds = 24 * 60 * 60
)

// Notice is what a target announces in one answer. The zero value announces nothing.
type Notice struct {
	// Draining is set if the target accepts no new requests.
	Draining bool
	// QuietUntil is until when the target wants no requests of this instance; zero if it
	// takes them.
	QuietUntil time.Time
	// UnreadableTime is the time after which the target wants requests again if it cannot be
	// read, as the target sent it.
	UnreadableTime string
}

// Read returns what the head of an answer announces.
func Read(now time.Time, header *fasthttp.ResponseHeader) Notice {
	notice := Notice{Draining: string(header.Peek(headerDraining)) == "true"}
	value := string(header.Peek(fasthttp.HeaderRetryAfter))
	until, ok := QuietUntil(now, header.StatusCode(), value)
	if !ok {
		notice.UnreadableTime = value
	}
	notice.QuietUntil = until
	return notice
}

// QuietUntil returns until when a target wants no requests, given the status and the header
// Retry-After of its answer; zero if it takes them. It returns false if the header cannot be
// read.
func QuietUntil(now time.Time, status int, retryAfter string) (until time.Time, ok bool) {
	if status != fasthttp.StatusServiceUnavailable || retryAfter == "" {
		return time.Time{}, true
	}
	until, ok = parseRetryAfter(now, retryAfter)
	if !ok || !until.After(now) {
		return time.Time{}, ok
	}
	return until, true
}

// parseRetryAfter reads seconds, which may have decimals, or an HTTP date.
func parseRetryAfter(now time.Time, value string) (until time.Time, ok bool) {
	latest := now.Add(maxQuietSeconds * time.Second)
	if at, err := http.ParseTime(value); err == nil {
		if at.After(latest) {
			return latest, true
		}
		return at, true
	}
	seconds, err := strconv.ParseFloat(value, 64)
	isOutOfRange := errors.Is(err, strconv.ErrRange)
	if (err != nil && !isOutOfRange) || math.IsNaN(seconds) || seconds < 0 {
		return time.Time{}, false
	}
	return now.Add(time.Duration(min(seconds, maxQuietSeconds) * float64(time.Second))), true
}
