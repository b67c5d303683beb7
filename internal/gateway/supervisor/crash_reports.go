package supervisor

import (
	"slices"
	"sync"
	"time"

	"github.com/crocusring/crocusring/internal/request/quarantiner"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

const (
	// crashReportTTL is how long an instance passes its reports on to new examiners.
	crashReportTTL = 10 * time.Minute
	// freshReportTime is how long something may follow from a report that no examiner has had.
	// Later ones only count when a further crash is reported.
	freshReportTime = 2 * time.Second
	// maxCrashReports bounds the reports that an instance keeps, and maxReportLosses the losses that
	// each names.
	maxCrashReports = 1024
	maxReportLosses = 256
)

// examiner is an incarnation of an instance that examines the requests of a service.
type examiner struct {
	instance    string
	incarnation int64
}

// crashReport is what this instance has to tell the examiners of a service about the end of a
// target.
type crashReport struct {
	service string
	place   quarantiner.Place
	message messenger.CrashReport
	addedAt time.Time
	// informed are the examiners that have received the report as it is.
	informed []examiner
}

// crashReports holds the reports of this instance. It goes on to tell them to whoever becomes
// an examiner, since an examiner can fail, and starts without a memory.
type crashReports struct {
	mu      sync.Mutex
	reports map[quarantiner.Place]*crashReport
}

func newCrashReports() *crashReports {
	return &crashReports{reports: map[quarantiner.Place]*crashReport{}}
}

// add adds the losses of a message to the report of the end of a target, and returns the report.
func (c *crashReports) add(now time.Time, service string, place quarantiner.Place, message messenger.CrashReport) crashReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.reports[place]
	if r == nil {
		c.prune(now)
		r = &crashReport{service: service, place: place, message: message, addedAt: now}
		r.message.Verdicts = []messenger.GatewayVerdict{}
		c.reports[place] = r
		return *r
	}
	for _, loss := range message.Losses {
		if !slices.Contains(r.message.Losses, loss) && len(r.message.Losses) < maxReportLosses {
			r.message.Losses = append(slices.Clone(r.message.Losses), loss)
			r.informed = nil
		}
	}
	return *r
}

// prune drops the reports that have expired and, if there are too many, the oldest one.
func (c *crashReports) prune(now time.Time) {
	var oldest *crashReport
	for place, r := range c.reports {
		if now.Sub(r.addedAt) > crashReportTTL {
			delete(c.reports, place)
			continue
		}
		if oldest == nil || r.addedAt.Before(oldest.addedAt) {
			oldest = r
		}
	}
	if len(c.reports) >= maxCrashReports {
		delete(c.reports, oldest.place)
	}
}

// due returns the reports that one of the examiners of their service has not received. Only the
// first examiner acts on them, and only while they are fresh; the others keep a copy.
func (c *crashReports) due(now time.Time, examiners func(service string) []examiner) map[examiner][]crashReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := map[examiner][]crashReport{}
	for _, r := range c.reports {
		age := now.Sub(r.addedAt)
		if age > crashReportTTL {
			continue
		}
		for n, e := range examiners(r.service) {
			if slices.Contains(r.informed, e) {
				continue
			}
			report := *r
			report.message.IsCopy = n > 0 || age > freshReportTime
			out[e] = append(out[e], report)
		}
	}
	return out
}

// markInformed records that an examiner has received a report with certain losses.
func (c *crashReports) markInformed(sent crashReport, e examiner) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.reports[sent.place]
	if r != nil && len(r.message.Losses) == len(sent.message.Losses) && !slices.Contains(r.informed, e) {
		r.informed = append(r.informed, e)
	}
}
