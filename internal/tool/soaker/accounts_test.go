package soaker

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/crocusring/crocusring/platform/simulator"
)

// newKeyedChecker returns a checker with accounts, of which the first changing key has been replaced.
func newKeyedChecker() *testChecker {
	c := newTestChecker()
	c.keys = newAccountKeys()
	_, revoked := c.keys.next()
	revoked()
	_, revoked = c.keys.next()
	revoked()
	c.keys.revokedAt[changingKey(1)] = c.time
	return c
}

// runWithKey lets t1 run a request that is sent with a key some time later, for an account.
func runWithKey(c *testChecker, key, account string, after time.Duration) {
	c.time = c.time.Add(after)
	call := testCall("a")
	call.Key = key
	c.RequestSent(call, safeRoute, "i1")
	run := c.testRun("a", "t1", plainService)
	run.Account = account
	c.Began(run)
}

func TestCheckerDetectsMisuseOfKeys(t *testing.T) {
	changing := accountName(changingAccount)
	for _, c := range []struct {
		name     string
		play     func(c *testChecker)
		violated []Promise
	}{
		{"a key that stays", func(c *testChecker) { runWithKey(c, stableKey(1), accountName(1), time.Hour) }, nil},
		{"a key that was just revoked", func(c *testChecker) { runWithKey(c, changingKey(1), changing, revokeTime) }, nil},
		{"a key that was long revoked", func(c *testChecker) { runWithKey(c, changingKey(1), changing, revokeTime+time.Second) }, []Promise{KeyIgnored}},
		{"the present changing key", func(c *testChecker) { runWithKey(c, changingKey(2), changing, time.Hour) }, nil},
		{"an unknown key", func(c *testChecker) { runWithKey(c, unknownKey, "", 0) }, []Promise{KeyIgnored}},
		{"another account", func(c *testChecker) { runWithKey(c, stableKey(1), accountName(2), 0) }, []Promise{KeyIgnored}},
		{"no account", func(c *testChecker) { runWithKey(c, stableKey(1), "", 0) }, []Promise{KeyIgnored}},
		{"a key that is shown", func(c *testChecker) {
			call := testCall("a")
			call.Key = stableKey(0)
			c.RequestSent(call, safeRoute, "i1")
			run := c.testRun("a", "t1", plainService)
			run.Account, run.ShowsKey = accountName(0), true
			c.Began(run)
		}, []Promise{KeyShown}},
		{"a key that stays and is refused", func(c *testChecker) { refuseKey(c, stableKey(0)) }, []Promise{KeyDenied}},
		{"an unknown key that is refused", func(c *testChecker) { refuseKey(c, unknownKey) }, nil},
		{"a refusal for its key of a request that ran", func(c *testChecker) {
			runWithKey(c, changingKey(2), changing, 0)
			call := testCall("a")
			call.Key = changingKey(2)
			c.Answered(call, simulator.Answer{Status: 401, Began: c.time, Ended: c.time}, true, false)
		}, []Promise{RefusalLied}},
	} {
		t.Run(c.name, func(t *testing.T) {
			checker := newKeyedChecker()
			c.play(checker)
			var violated []Promise
			for _, v := range checker.Violations() {
				violated = append(violated, v.Promise)
			}
			assert.Equal(t, c.violated, violated)
		})
	}
}

// refuseKey lets an instance refuse a request for its key.
func refuseKey(c *testChecker, key string) {
	call := testCall("a")
	call.Key = key
	c.RequestSent(call, safeRoute, "i1")
	c.Answered(call, simulator.Answer{Status: 401, Began: c.time, Ended: c.time}, true, false)
}
