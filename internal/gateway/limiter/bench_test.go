package limiter_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/crocusring/crocusring/internal/gateway/limiter"
)

// newGroup returns the first of n instances of a data centre, which knows the others.
func newGroup(c *testClock, n int) *limiter.Limiter {
	l := newSettled(c, "a00", "a")
	l.SetMembers(members("a", n)[1:], nil, statusTTL)
	return l
}

// BenchmarkGrant measures the decision of a granter in groups of several sizes.
func BenchmarkGrant(b *testing.B) {
	for _, n := range []int{4, 20, 61} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c := newClock()
			l := newGroup(c, n)
			limit := named(c, 1)
			for b.Loop() {
				c.step(time.Millisecond)
				l.Grant(testTarget, limit)
			}
		})
	}
}

// BenchmarkAsk measures what a request to a target with a limit costs its instance, without
// the call to the granter.
func BenchmarkAsk(b *testing.B) {
	for _, n := range []int{4, 20, 61} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c := newClock()
			l := newGroup(c, n)
			limit := named(c, 1)
			l.Observe("t", limit)
			for b.Loop() {
				ask, err := l.Begin(testTarget)
				if err != nil {
					b.Fatal(err)
				}
				_ = l.Finish(ask, limiter.Answer{IsGranted: true, Limit: limit}, nil)
			}
		})
	}
}

// BenchmarkSetMembers measures what each status interval costs in systems of several sizes.
func BenchmarkSetMembers(b *testing.B) {
	for _, n := range []int{4, 78, 300, 790} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			l := newSettled(newClock(), "self", "c0")
			all := []limiter.Member{}
			for i := range n - 1 {
				all = append(all, limiter.Member{Name: fmt.Sprintf("instance-%03d", i), DataCentre: fmt.Sprintf("c%d", i%13)})
			}
			for b.Loop() {
				l.SetMembers(all, nil, statusTTL)
			}
		})
	}
}

// newQuotaGranter returns a granter to which n instances delegate their shares of one part.
func newQuotaGranter(c *testClock, n, accounts int) *limiter.Quotas {
	q := limiter.NewQuotas("self", limiter.QuotaBounds{Window: 8 * time.Second, Overage: 0.1, Slack: 11_000}, limiter.WithQuotaClock(c.read))
	quotas := map[string]limiter.Quota{}
	for i := range accounts {
		quotas[fmt.Sprintf("account-%04d", i)] = limiter.Quota{PerSecond: 14_000}
	}
	q.SetQuotas(quotas)
	for i := range n {
		q.ReceiveDelegation(fmt.Sprintf("instance-%03d", i), limiter.Delegation{Parts: 1, Echo: c.read(), TTL: time.Hour, Members: n})
	}
	c.step(20 * time.Second)
	return q
}

// BenchmarkGrantQuota measures the decision of a granter in systems of several sizes.
func BenchmarkGrantQuota(b *testing.B) {
	for _, n := range []int{32, 84, 790} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c := newClock()
			q := newQuotaGranter(c, n, 16)
			account := ""
			for i := 0; account == ""; i++ {
				name := fmt.Sprintf("account-%04d", i)
				if q.Grant([]limiter.QuotaAsk{{Account: name, Need: 1}})[0].IsKnown {
					account = name
				}
			}
			for b.Loop() {
				c.step(100 * time.Millisecond)
				q.Grant([]limiter.QuotaAsk{{Account: account, Need: 1000}})
			}
		})
	}
}

// BenchmarkSetQuotaMembers measures what a change of the live instances costs.
func BenchmarkSetQuotaMembers(b *testing.B) {
	for _, n := range []int{32, 84, 790} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			q := newQuotaGranter(newClock(), n, 16)
			all := []string{}
			for i := range n {
				all = append(all, fmt.Sprintf("instance-%03d", i))
			}
			for i := 0; b.Loop(); i++ {
				q.SetMembers(all[i%2:], nil)
			}
		})
	}
}
