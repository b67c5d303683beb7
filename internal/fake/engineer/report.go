package engineer

import (
	"fmt"
	"slices"
	"time"

	"github.com/crocusring/crocusring/internal/wire/messenger"
)

type timedReport struct {
	at     time.Time
	report messenger.EngineReport
}

func (e *Engine) incarnation() string {
	return fmt.Sprintf("%s-%d", e.id, e.generation)
}

func (e *Engine) usedBytes() int64 {
	var used int64
	for _, h := range e.holdings {
		used += h.Bytes
	}
	return used
}

// report returns the newest report that is at least reportLag old, or the
// oldest known.
func (e *Engine) report(now time.Time) messenger.EngineReport {
	e.reports = append(e.reports, timedReport{at: now, report: e.currentReport()})
	limit := now.Add(-e.reportLag)
	newest := 0
	for i, r := range e.reports {
		if !r.at.After(limit) {
			newest = i
		}
	}
	e.reports = e.reports[newest:]
	return e.reports[0].report
}

func (e *Engine) currentReport() messenger.EngineReport {
	return messenger.EngineReport{
		Target:          e.id,
		Incarnation:     e.incarnation(),
		Role:            e.role,
		MemoryBytes:     e.memoryBytes,
		UsedBytes:       e.usedBytes(),
		CacheBytes:      e.cache.bytes,
		Running:         e.running,
		Queued:          len(e.waiting),
		Leaving:         e.leaving,
		HighestFence:    e.highestFence,
		OvercommitBytes: e.maxOvercommit,
		Holdings:        e.currentHoldings(),
		AppliedOrders:   slices.Clone(e.appliedOrders),
		EventSequence:   e.cache.sequence,
	}
}

func (e *Engine) currentHoldings() []messenger.EngineHolding {
	holdings := slices.Clone(e.holdings)
	for i := range holdings {
		h := &holdings[i]
		for model, n := range e.requestsByModel {
			base, adapter, version := splitModel(model)
			if base == h.Model && version == h.Version && (h.Adapter == "" || h.Adapter == adapter) {
				h.Running += n
			}
		}
	}
	return holdings
}
