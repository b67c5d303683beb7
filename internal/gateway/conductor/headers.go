package conductor

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

// Headers are the names of the headers that callers and targets use, and how
// their values are read.
type Headers struct {
	// RequestID names one send of a caller's request. Targets repeat it.
	RequestID string
	// Deadline holds how many milliseconds the sender waits for the answer.
	Deadline string
	// Stamp is on every answer of a target.
	Stamp string
	// ExpectInstance makes any other target than the named one refuse the request.
	ExpectInstance string
	// NotRun marks an answer whose request did not run.
	NotRun string
	// LastEvent names the last event that the caller of a stream has.
	LastEvent string
	// Model names the model and the adapter that the request is for.
	Model string
	// Tokens holds the size of the prompt and the most tokens of the answer.
	Tokens string
	// Prefix lists the parts of the prompt.
	Prefix string
	// Priority is the rank of the request at its target.
	Priority string
	// Reserved headers are set by this system alone and dropped from what callers send.
	Reserved []string
	// MisdirectedAt is the status of a target that is not the expected one, or that
	// does not hold the model.
	MisdirectedAt int

	ParseModel  func(value string) (model, adapter string)
	ParseTokens func(value string) (prompt, output int)
	ParsePrefix func(value string) []string
}

// hopHeaders concern one connection and are not sent on. The length of a body is
// set anew, since bodies are read whole.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect", "Content-Length", "Host",
}

// callerDeadline returns when the caller stops waiting; false without a valid header.
func (h *Headers) callerDeadline(r *http.Request, now time.Time) (time.Time, bool) {
	value := r.Header.Get(h.Deadline)
	milliseconds, err := strconv.ParseFloat(value, 64)
	if value == "" || err != nil || milliseconds < 0 || milliseconds > float64(time.Hour.Milliseconds()) {
		return time.Time{}, false
	}
	return now.Add(time.Duration(milliseconds * float64(time.Millisecond))), true
}

// copyRequest sets the headers of a caller's request on the one to a target.
func (h *Headers) copyRequest(out *fasthttp.RequestHeader, in http.Header) {
	named := connectionHeaders(in)
	for name, values := range in {
		if slices.Contains(hopHeaders, name) || slices.Contains(named, name) || h.isReserved(name) {
			continue
		}
		for _, value := range values {
			out.Add(name, value)
		}
	}
}

func (h *Headers) isReserved(name string) bool {
	for _, reserved := range h.Reserved {
		if strings.EqualFold(name, reserved) {
			return true
		}
	}
	return strings.EqualFold(name, h.Deadline)
}

// connectionHeaders returns the headers that Connection names.
func connectionHeaders(in http.Header) []string {
	names := []string{}
	for _, value := range in.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			names = append(names, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	return names
}

// copyAnswer sets the headers of a target's answer on the one to the caller.
func copyAnswer(out http.Header, in *fasthttp.ResponseHeader) {
	for key, value := range in.All() {
		name := http.CanonicalHeaderKey(string(key))
		if slices.Contains(hopHeaders, name) {
			continue
		}
		out[name] = append(out[name], string(value))
	}
	suppressDefaults(out)
}

// suppressDefaults keeps the server from adding headers that the target did not send.
func suppressDefaults(out http.Header) {
	for _, name := range []string{"Date", "Content-Type"} {
		if _, ok := out[name]; !ok {
			out[name] = nil
		}
	}
}
