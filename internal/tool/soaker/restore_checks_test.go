package soaker

import (
	"net/http"
	"testing"
	"time"

	"github.com/crocusring/crocusring/platform/simulator"
)

// askStep lets i1 serve a request on the route that a version of the manifest adds, or refuse it for
// want of the route.
func askStep(c *testChecker, step int, isServed, isUndisturbed bool) {
	r := safeRoute
	r.step = step
	call := testCall(c.time.String())
	c.RequestSent(call, r, "i1")
	if !isServed {
		c.Answered(call, simulator.Answer{Status: http.StatusNotFound, Began: c.time, Ended: c.time}, isUndisturbed, false)
		return
	}
	c.Began(c.testRun(call.ID, "t1", plainService))
	c.Answered(call, c.answer(call.ID, "t1", "run of "+call.ID+": b"), isUndisturbed, false)
}

// carryOut lets a target carry out an order.
func carryOut(c *testChecker, target, holder string, fence int64) {
	c.Ordered(simulator.Order{Target: target, Holder: holder, Fence: fence, IsCarriedOut: true})
}

// TestCheckerDetectsViolationsByARestore feeds the checker violations that a store which came back from a
// copy may lead to, and similar histories that are correct.
func TestCheckerDetectsViolationsByARestore(t *testing.T) {
	for name, test := range map[string]struct {
		do   func(c *testChecker)
		want []Promise
	}{
		"one token from two holders, of which one is refused": {want: []Promise{TwoHolders}, do: func(c *testChecker) {
			carryOut(c, "t1", "i1", 4)
			c.Ordered(simulator.Order{Target: "t1", Holder: "i2", Fence: 4})
		}},
		"order of a holder of before": {want: []Promise{OldToken}, do: func(c *testChecker) {
			carryOut(c, "t1", "i1", 5)
			c.time = c.time.Add(2 * tokenSlack)
			carryOut(c, "t2", "i2", 4)
		}},
		"order of a holder of before, on its way or refused": {do: func(c *testChecker) {
			carryOut(c, "t1", "i1", 5)
			carryOut(c, "t2", "i2", 4)
			c.time = c.time.Add(2 * tokenSlack)
			c.Ordered(simulator.Order{Target: "t1", Holder: "i2", Fence: 4})
		}},
		"order of a holder of before that was paused": {do: func(c *testChecker) {
			carryOut(c, "t1", "i1", 5)
			c.time = c.time.Add(2 * tokenSlack)
			c.InstanceDisturbed("i2")
			carryOut(c, "t2", "i2", 4)
		}},
		"order of a holder of before that was held back": {do: func(c *testChecker) {
			carryOut(c, "t1", "i1", 5)
			endDisturbance := c.TargetDisturbed("t2")
			c.time = c.time.Add(2 * tokenSlack)
			endDisturbance()
			carryOut(c, "t2", "i2", 4)
		}},
		"route of all manifests refused": {want: []Promise{RouteLost}, do: func(c *testChecker) { askStep(c, 0, false, false) }},
		"manifest goes back": {want: []Promise{RouteLost}, do: func(c *testChecker) {
			askStep(c, 7, true, false)
			c.time = c.time.Add(2 * rollbackSlack)
			askStep(c, 6, false, false)
		}},
		"manifest goes back at the next incarnation, or before it is seen": {do: func(c *testChecker) {
			askStep(c, 7, true, false)
			askStep(c, 7, false, false)
			c.time = c.time.Add(2 * rollbackSlack)
			askStep(c, 8, false, false)
			c.InstanceDisturbed("i1")
			c.InstanceRestarted("i1")
			askStep(c, 7, false, false)
		}},
		"manifest not in force": {want: []Promise{NotInForce}, do: func(c *testChecker) {
			c.ManifestAcknowledged(7)
			c.time = c.time.Add(inForceTime + time.Millisecond)
			askStep(c, 7, false, true)
		}},
		"manifest not in force yet, or disturbed": {do: func(c *testChecker) {
			c.ManifestAcknowledged(7)
			c.time = c.time.Add(inForceTime)
			askStep(c, 7, false, true)
			c.time = c.time.Add(time.Second)
			askStep(c, 7, false, false)
		}},
		"manifest that was lost not in force after it was written again": {want: []Promise{NotInForce}, do: func(c *testChecker) {
			c.ManifestAcknowledged(7)
			c.time = c.time.Add(inForceTime)
			c.RestoreBegan([]string{"i1"})
			c.RestoreEnded(c.time.Add(-maxCopyAge), c.time)
			c.time = c.time.Add(inForceTime)
			askStep(c, 7, false, true)
			c.time = c.time.Add(time.Millisecond)
			askStep(c, 7, false, true)
		}},
		"manifest of after the return not in force": {want: []Promise{NotInForce}, do: func(c *testChecker) {
			away := c.time
			c.RestoreBegan([]string{"i1"})
			c.time = c.time.Add(time.Second)
			c.ManifestAcknowledged(7)
			c.time = c.time.Add(time.Second)
			c.RestoreEnded(away.Add(-maxCopyAge), away)
			c.time = c.time.Add(inForceTime - time.Second + time.Millisecond)
			askStep(c, 7, false, true)
		}},
		"request after a target has left, over a restore": {want: []Promise{AfterDrain}, do: func(c *testChecker) {
			c.TargetLeft("t1")
			c.time = c.time.Add(drainTimeout)
			c.StoreRestored()
			c.time = c.time.Add(time.Millisecond)
			askStep(c, 0, true, false)
		}},
		"request after a target has left right before a restore": {do: func(c *testChecker) {
			c.TargetLeft("t1")
			c.time = c.time.Add(drainTimeout - time.Millisecond)
			c.StoreRestored()
			c.time = c.time.Add(time.Minute)
			askStep(c, 0, true, false)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			c := newTestChecker()
			test.do(c)
			assertViolations(t, c, test.want...)
		})
	}
}

// TestRevokedKeyStaysRevokedOverARestore checks that a key may run again only where no instance knows more
// than the copy that the store came back from, and for as long.
func TestRevokedKeyStaysRevokedOverARestore(t *testing.T) {
	for name, test := range map[string]struct {
		do   func(c *testChecker)
		want []Promise
	}{
		"an instance knows": {want: []Promise{KeyIgnored}, do: func(c *testChecker) {
			c.RestoreBegan([]string{"i1", "i2"})
			c.InstanceEnds("i1")
		}},
		"all are lost": {do: func(c *testChecker) {
			c.RestoreBegan([]string{"i1", "i2"})
			c.InstanceEnds("i1")
			c.InstanceDisturbed("i2")
		}},
		"none is active": {do: func(c *testChecker) { c.RestoreBegan(nil) }},
		"all have just begun": {do: func(c *testChecker) {
			c.InstanceDisturbed("i1")
			c.RestoreBegan([]string{"i1"})
		}},
		"all are lost in the first of two restores": {do: func(c *testChecker) {
			c.RestoreBegan(nil)
			c.RestoreBegan([]string{"i1"})
			c.RestoreEnded(c.time, c.time)
			c.time = c.time.Add(time.Minute)
		}},
		"all were lost before": {want: []Promise{KeyIgnored}, do: func(c *testChecker) {
			c.RestoreBegan(nil)
			c.RestoreEnded(c.time, c.time)
			c.time = c.time.Add(inForceTime)
		}},
		"all are lost without a restore": {want: []Promise{KeyIgnored}, do: func(c *testChecker) { c.InstanceEnds("i1") }},
	} {
		t.Run(name, func(t *testing.T) {
			c := newKeyedChecker()
			c.time = c.time.Add(2 * revokeTime)
			test.do(c)
			runWithKey(c, changingKey(1), accountName(changingAccount), 0)
			assertViolations(t, c, test.want...)
		})
	}
}
