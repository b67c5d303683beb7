package conductor

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

// Headers holds the names of the headers that callers and targets use, and the functions
// that parse their values.
type Headers struct {
	// RequestID identifies one attempt of a caller to send a request. Targets copy it
	// into their answers.
	RequestID string
	// Deadline holds the number of milliseconds that the sender waits for the answer.
	Deadline string
	// Stamp is present in every answer of a target.
	Stamp string
	// ExpectInstance holds the ID of the target that the request is meant for. Any other
	// target refuses the request.
	ExpectInstance string
	// NotRun marks the answer to a request that the target did not run.
	NotRun string
	// LastEvent holds the ID of the last event of a stream that the caller received.
	LastEvent string
	// Model holds the model and the adapter that the request asks for.
	Model string
	// Tokens holds the number of tokens of the prompt and the maximum number of tokens of
	// the answer.
	Tokens string
	// Prefix lists the parts of the prompt, by which requests with a common prefix are
	// recognised.
	Prefix string
	// Priority holds the priority of the request at its target.
	Priority string
	// Reserved lists headers that only this system sets. They are dropped from callers'
	// requests.
	Reserved []string
	// RateLimit holds the number of requests a second that a target takes from all instances
	// together. A target without a limit leaves it out.
	RateLimit string
	// Leaving is present in every answer of a target that leaves.
	Leaving string
	// RetryAfter holds, in a refusal with status 503, the time for which the target wants no
	// requests of this instance.
	RetryAfter string
	// Credential holds the key by which callers name their account. Targets never get it where
	// there are accounts.
	Credential string
	// AccountName holds, towards targets, the name of the account that a request is sent for. Where
	// there are accounts, only this system sets it.
	AccountName string
	// Content lists further headers that say what a request asks a target to run. Together with
	// the credential or account, method, host, path, query and body they are the same each time a caller sends
	// a request.
	Content []string
	// MisdirectedStatus is the HTTP status by which a target reports that it is not the
	// expected one, or that it does not hold the model.
	MisdirectedStatus int
	// ConvictedStatus is the HTTP status of the refusal of a request whose content ends targets:
	// one after which callers do not send a request again.
	ConvictedStatus int

	ParseModel  func(value string) (model, adapter string)
	ParseTokens func(value string) (prompt, output int)
	// ParseCredential returns the key that a credential names; false if it names none.
	ParseCredential func(value string) (key string, ok bool)
	// ParsePrefix returns the parts of a prompt that other requests may bear as well, a bounded
	// number of them, in the same spelling for the same part. A part may come more than once.
	ParsePrefix func(value string) []string
	// ParseRateLimit returns false if value is no rate.
	ParseRateLimit func(value string) (perSecond float64, ok bool)
	// ParseLeaving reports whether value says that the target leaves.
	ParseLeaving func(value string) bool
	// ParseRetryAfter returns false if value is no time.
	ParseRetryAfter func(value string) (delay time.Duration, ok bool)
}

// hopByHopHeaders apply to a single connection and are not forwarded. Content-Length is
// set anew, since bodies are read to their end first; Host is set separately.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect", "Content-Length", "Host",
}

// callerDeadline returns when the caller stops waiting; false if the request has no valid
// deadline header.
func (h *Headers) callerDeadline(r *http.Request, now time.Time) (time.Time, bool) {
	value := r.Header.Get(h.Deadline)
	milliseconds, err := strconv.ParseFloat(value, 64)
	if value == "" || err != nil || milliseconds < 0 || milliseconds > float64(time.Hour.Milliseconds()) {
		return time.Time{}, false
	}
	return now.Add(time.Duration(milliseconds * float64(time.Millisecond))), true
}

// copyRequestHeaders copies the end-to-end headers of a caller's request to the request
// to a target, except for reserved ones and, where there are accounts, those that name one.
func (h *Headers) copyRequestHeaders(out *fasthttp.RequestHeader, in http.Header, hasAccounts bool) {
	named := connectionHeaders(in)
	for name, values := range in {
		if slices.Contains(hopByHopHeaders, name) || slices.Contains(named, name) || h.isReserved(name) {
			continue
		}
		if hasAccounts && h.namesAccount(name) {
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

// namesAccount reports whether a header holds a key or the name of an account.
func (h *Headers) namesAccount(name string) bool {
	return strings.EqualFold(name, h.Credential) || strings.EqualFold(name, h.AccountName)
}

// connectionHeaders returns the names of the headers that the Connection header lists.
func connectionHeaders(in http.Header) []string {
	names := []string{}
	for _, value := range in.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			names = append(names, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	return names
}

// copyAnswerHeaders copies the end-to-end headers of a target's answer to the answer to
// the caller.
func copyAnswerHeaders(out http.Header, in *fasthttp.ResponseHeader) {
	for key, value := range in.All() {
		name := http.CanonicalHeaderKey(string(key))
		if slices.Contains(hopByHopHeaders, name) {
			continue
		}
		out[name] = append(out[name], string(value))
	}
	suppressDefaults(out)
}

// suppressDefaults prevents net/http from adding headers that the target did not send.
func suppressDefaults(out http.Header) {
	for _, name := range []string{"Date", "Content-Type"} {
		if _, ok := out[name]; !ok {
			out[name] = nil
		}
	}
}
