package soaker

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/crocusring/crocusring/platform/simulator"
)

// Promise names a guarantee of the system by the way in which it is violated.
type Promise string

const (
	// RunsTwice means that a request that must not be repeated ran twice.
	RunsTwice Promise = "RunsTwice"
	// RefusalLied means that a request ran although it was refused as not run.
	RefusalLied Promise = "RefusalLied"
	// WrongAnswer means that an answer is incomplete, or not from a run of the request.
	WrongAnswer Promise = "WrongAnswer"
	// BrokenOrder means that a stream that ended normally lacks events or repeats one.
	BrokenOrder Promise = "BrokenOrder"
	// WholeLost means that a caller did not get an answer that a target sent whole, with
	// nothing disturbed.
	WholeLost Promise = "WholeLost"
	// NotAsked means that a target ran a request that no caller sent.
	NotAsked Promise = "NotAsked"
	// WrongRoute means that a service ran a request that no version of the manifest routes
	// to it.
	WrongRoute Promise = "WrongRoute"
	// Overfilled means that a target was ordered to load more than its memory or adapter
	// slots can hold.
	Overfilled Promise = "Overfilled"
	// TwoHolders means that two instances gave orders under one fencing token.
	TwoHolders Promise = "TwoHolders"
	// OldToken means that a target carried out an order long after one with a higher fencing
	// token was carried out.
	OldToken Promise = "OldToken"
	// RouteLost means that an instance refused a request for want of a route that all versions of
	// the manifest have, or that it has shown to have.
	RouteLost Promise = "RouteLost"
	// NotInForce means that an instance refused a request for want of a route long after the
	// store had acknowledged the manifest with it.
	NotInForce Promise = "NotInForce"
	// LateAnswer means that no final answer arrived within the timeout of the route.
	LateAnswer Promise = "LateAnswer"
	// AfterDrain means that a target received a request after it had left.
	AfterDrain Promise = "AfterDrain"
	// AfterLeave means that a target received a request from an instance that had long passed
	// on an answer which says that the target leaves.
	AfterLeave Promise = "AfterLeave"
	// TooSoon means that an instance sent requests to a target before the time that the target
	// had named to it.
	TooSoon Promise = "TooSoon"
	// OverLimit means that a target received more requests than the limit that it names
	// allows, from all instances together.
	OverLimit Promise = "OverLimit"
	// WorkedOn means that a target kept running a request after its caller had cancelled it.
	WorkedOn Promise = "WorkedOn"
	// NotBack means that requests are not served again although all disturbances ended.
	NotBack Promise = "NotBack"
	// SentOn means that a request under which targets had ended was sent on.
	SentOn Promise = "SentOn"
	// Denied means that requests that end no targets were refused for good.
	Denied Promise = "Denied"
	// KeyShown means that a target was sent the key of an account.
	KeyShown Promise = "KeyShown"
	// KeyIgnored means that a request ran for another account than that of its key, or with a key
	// that is unknown or had long been revoked.
	KeyIgnored Promise = "KeyIgnored"
	// KeyDenied means that a key was refused for good that all manifests have.
	KeyDenied Promise = "KeyDenied"
	// OwnEnd means that an instance exited without being asked to, or failed to start.
	OwnEnd Promise = "OwnEnd"
)

const (
	// answerSlack is how much later than the timeout of its route an answer may arrive. It
	// includes scheduling delays of a busy machine.
	answerSlack = 900 * time.Millisecond
	// drainTimeout is how long a leaving target may receive requests, and cancelTimeout how
	// long a run may go on after its caller has cancelled. Both include the same delays.
	drainTimeout  = 2500 * time.Millisecond
	cancelTimeout = 900 * time.Millisecond
	// minServedShare is the share of requests that must be served after recovery.
	minServedShare = 0.95
)

// Violation is an observed violation of a guarantee.
type Violation struct {
	Promise Promise
	At      time.Time
	Detail  string
}

// sentRequest is a request with its runs and whether it was refused.
type sentRequest struct {
	call simulator.Call
	// isAtMostOnce reports that the request must not run more than once.
	isAtMostOnce bool
	// instance is the instance that it was sent to, and sentAt when.
	instance string
	sentAt   time.Time
	services []string
	runs     []simulator.Run
	refused  bool
	// step is the version of the manifest that added the route; 0 if all versions have it.
	step int
	// endsTargets reports that its content ends the targets that run it.
	endsTargets bool
	// isUnanswered reports that the caller got a broken answer, or none from a target, in
	// time and with nothing disturbed.
	isUnanswered bool
}

// end records the end of a run.
func (s *sentRequest) end(ended simulator.Run) {
	for i, run := range s.runs {
		if run.Target == ended.Target && run.Began.Equal(ended.Began) {
			s.runs[i] = ended
		}
	}
}

// wholeRun returns the run whose answer a target sent whole; false if there is none.
func (s *sentRequest) wholeRun() (simulator.Run, bool) {
	for _, run := range s.runs {
		if run.IsWhole {
			return run, true
		}
	}
	return simulator.Run{}, false
}

// Checker records what callers sent and received and what targets ran, and detects
// violations. The zero value is not usable; see NewChecker.
type Checker struct {
	now func() time.Time
	// keys holds the keys of the accounts; nil without accounts.
	keys *accountKeys

	mu            sync.Mutex
	sentRequest   map[string]*sentRequest
	holderByFence map[int64]string
	highest       carriedOut           // the order with the highest fencing token
	disturbedAt   map[string]time.Time // when an instance was last stopped, started or paused
	manifests     manifestHistory
	restores      restoreHistory
	leftAt        map[string]time.Time // when the store acknowledged that a target leaves
	returnedAt    map[string]time.Time // when the present incarnation of a target began
	cancelledAt   map[string]time.Time // when a caller cancelled a request, if undisturbed
	openRuns      map[string]int       // number of runs that have not ended, by request
	// targets holds the disturbances of targets and of the ways to them, links only the latter.
	targets             targetHistory
	links               targetHistory
	leaveSeenAt         map[noticeKey]time.Time // when an instance passed on that a target leaves
	quiet               map[noticeKey]*quietNotice
	ends                map[string][]time.Time // when targets ended under a content or a part, while undisturbed
	denied              int
	violations          []Violation
	servedAfterRecovery int
	sentAfterRecovery   int
}

// NewChecker returns a checker without records.
func NewChecker() *Checker {
	return &Checker{
		now: time.Now, sentRequest: map[string]*sentRequest{}, holderByFence: map[int64]string{}, leftAt: map[string]time.Time{},
		cancelledAt: map[string]time.Time{}, openRuns: map[string]int{}, targets: targetHistory{}, links: targetHistory{},
		returnedAt: map[string]time.Time{}, leaveSeenAt: map[noticeKey]time.Time{}, quiet: map[noticeKey]*quietNotice{},
		ends: map[string][]time.Time{}, disturbedAt: map[string]time.Time{},
		manifests: manifestHistory{dueAt: map[int]time.Time{}, acknowledgedAt: map[int]time.Time{}, seen: map[string][]seenStep{}},
	}
}

// Violations returns the violations detected so far.
func (c *Checker) Violations() []Violation {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Violation(nil), c.violations...)
}

// Report records a violation that was detected elsewhere.
func (c *Checker) Report(p Promise, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.add(p, format, args...)
}

func (c *Checker) add(p Promise, format string, args ...any) {
	c.violations = append(c.violations, Violation{Promise: p, At: c.now(), Detail: fmt.Sprintf(format, args...)})
}

// RequestSent records a request to an instance. It must be called before the request is sent.
func (c *Checker) RequestSent(call simulator.Call, r route, instance string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sentRequest[call.ID] = &sentRequest{call: call, instance: instance, sentAt: c.now(), isAtMostOnce: r.Kind != "safe" && !r.Resumable, services: r.services, step: r.step}
}

// Began records and checks a run that a target begins.
func (c *Checker) Began(run simulator.Run) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.sentRequest[run.Request]
	if s == nil {
		c.add(NotAsked, "%s ran %q", run.Target, run.Request)
		return
	}
	c.openRuns[run.Request]++
	s.runs = append(s.runs, run)
	if s.isAtMostOnce && len(s.runs) > 1 {
		c.add(RunsTwice, "%s ran at %s and %s", run.Request, s.runs[0].Target, run.Target)
	}
	if s.refused && s.isAtMostOnce {
		c.add(RefusalLied, "%s ran at %s after it was refused", run.Request, run.Target)
	}
	if !slices.Contains(s.services, run.Service) || run.Method != s.call.Method || run.Path != s.call.Path {
		c.add(WrongRoute, "%s %s %s ran as %s %s at %s", run.Request, s.call.Method, s.call.Path, run.Method, run.Path, run.Service)
	}
	c.checkLeave(s, run)
	c.checkAccount(s, run)
	if at, ok := c.leftAt[run.Target]; ok && run.Began.After(at.Add(drainTimeout)) {
		c.add(AfterDrain, "%s received %s %v after it had left", run.Target, run.Request, run.Began.Sub(at))
	}
}

// Ended records and checks the end of a run.
func (c *Checker) Ended(run simulator.Run) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.openRuns[run.Request]--
	if s := c.sentRequest[run.Request]; s != nil {
		s.end(run)
	}
	if at, ok := c.cancelledAt[run.Request]; ok && run.Ended.After(at.Add(cancelTimeout)) && c.links.isCalm(run.Target, run.Began, run.Ended) {
		c.add(WorkedOn, "%s kept running %s for %v after its caller had cancelled", run.Target, run.Request, run.Ended.Sub(at))
	}
}

// Ordered records and checks an order that has reached a target.
func (c *Checker) Ordered(o simulator.Order) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if o.Overfills {
		c.add(Overfilled, "%s, ordered by %s with fencing token %d", o.Target, o.Holder, o.Fence)
	}
	if holder, ok := c.holderByFence[o.Fence]; ok && holder != o.Holder {
		c.add(TwoHolders, "%s and %s used fencing token %d", holder, o.Holder, o.Fence)
	}
	c.holderByFence[o.Fence] = o.Holder
	if o.IsCarriedOut {
		c.checkToken(o)
	}
}

// Exceeded records that a target received more requests than its limit allows.
func (c *Checker) Exceeded(e simulator.Excess) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.add(OverLimit, "%s names a limit of %g a second and received %d requests in a window, allowed %g", e.Target, e.PerSecond, e.Count, e.Allowed)
}

// TargetLeft records that the store acknowledged the leaving of a target while nothing was
// disturbed.
func (c *Checker) TargetLeft(target string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leftAt[target] = c.now()
}

// TargetReturned records that a target is live again.
func (c *Checker) TargetReturned(target string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.leftAt, target)
	c.returnedAt[target] = c.now()
	c.forgetNotices(target)
}

// Disturbed records a disturbance of the store or of an instance. Instances may detect
// leaving targets and cancelled requests late from then on, so those are not checked.
func (c *Checker) Disturbed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.leftAt)
	clear(c.cancelledAt)
}

// CallerCancelled records that a caller cancels its request while nothing is disturbed.
func (c *Checker) CallerCancelled(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelledAt[id] = c.now()
}

// Answered records and checks the answer to a request. isUndisturbed reports that nothing
// was disturbed meanwhile, isAfterRecovery that the request was sent after all
// disturbances had ended and recoveryTime had passed.
func (c *Checker) Answered(call simulator.Call, a simulator.Answer, isUndisturbed, isAfterRecovery bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.sentRequest[call.ID]
	isFromInstance := a.Stamp == ""
	c.noteLeave(s, a)
	c.checkManifest(s, a, isUndisturbed)
	isAllowed := c.keys.isStable(call.Key)
	if isAllowed {
		c.noteDenial(s, a)
	}
	switch {
	case a.Err != nil:
	case isFromInstance && a.Status == http.StatusUnauthorized:
		if len(s.runs) > 0 {
			c.add(RefusalLied, "%s was refused with %d and ran at %s", call.ID, a.Status, s.runs[0].Target)
		}
		if c.keys != nil && isAllowed {
			c.add(KeyDenied, "%s was refused with the key %s", call.ID, call.Key)
		}
	case isFromInstance && isRefusal(a.Status):
		s.refused = true
		if s.isAtMostOnce && len(s.runs) > 0 {
			c.add(RefusalLied, "%s was refused with %d and ran at %s", call.ID, a.Status, s.runs[0].Target)
		}
	case a.Status == http.StatusOK:
		c.checkSuccess(s, a)
	case !isFromInstance && !isStampOfRun(s, a.Stamp):
		c.add(WrongAnswer, "%s received status %d with the stamp %q", call.ID, a.Status, a.Stamp)
	}
	took := a.Ended.Sub(a.Began)
	if isUndisturbed && took > call.Timeout+answerSlack {
		c.add(LateAnswer, "%s took %v of %v", call.ID, took, call.Timeout)
	}
	isBroken := a.Err != nil || (isFromInstance && a.Status == http.StatusBadGateway)
	s.isUnanswered = isUndisturbed && isBroken && took < call.Timeout-answerSlack
	if isAfterRecovery && isAllowed {
		c.sentAfterRecovery++
		if a.Err == nil && a.Status == http.StatusOK {
			c.servedAfterRecovery++
		}
	}
}

// isRefusal reports whether a status, in an answer from an instance itself, means that the
// request was not run.
func isRefusal(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

func isStampOfRun(s *sentRequest, stamp string) bool {
	for _, run := range s.runs {
		if stamp == run.Target+"."+run.Request {
			return true
		}
	}
	return false
}

// checkSuccess checks that a successful answer is the complete answer from a run of the
// request.
func (c *Checker) checkSuccess(s *sentRequest, a simulator.Answer) {
	id := s.call.ID
	if a.ID != id || !isStampOfRun(s, a.Stamp) {
		c.add(WrongAnswer, "%s received id %q with the stamp %q", id, a.ID, a.Stamp)
		return
	}
	if s.call.Model == "" {
		if want := "run of " + id + ": " + s.call.Body; a.Body != want {
			c.add(WrongAnswer, "%s received %q, want %q", id, a.Body, want)
		}
		return
	}
	if want := wholeStream(id); a.Body != want {
		c.add(BrokenOrder, "%s received an incomplete stream that ended normally: %q", id, a.Body)
	}
}

// streamEvents is the number of events of a stream.
const streamEvents = 12

func wholeStream(id string) string {
	var b strings.Builder
	for i := 1; i <= streamEvents; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: %s %d of %d\n\n", i, id, i, streamEvents)
	}
	return b.String()
}

// Finish checks what can only be checked at the end of a soak.
func (c *Checker) Finish() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if float64(c.servedAfterRecovery) < minServedShare*float64(c.sentAfterRecovery) {
		c.add(NotBack, "%d of %d requests served after recovery", c.servedAfterRecovery, c.sentAfterRecovery)
	}
	c.checkDenials()
	for id, s := range c.sentRequest {
		if run, ok := s.wholeRun(); ok && s.isUnanswered && c.targets.isCalm(run.Target, run.Began, run.Ended) {
			c.add(WholeLost, "%s got none from %s, which sent its answer whole", id, run.Target)
		}
	}
	for id, at := range c.cancelledAt {
		if c.openRuns[id] > 0 && c.now().Sub(at) > cancelTimeout {
			c.add(WorkedOn, "%s is still running %v after its caller cancelled", id, c.now().Sub(at))
		}
	}
}
