// Package forecaster follows the demand for each model and adapter: its level,
// its trend, and the recent peak that copies are kept for. It is a table with
// functions over it and has no clock.
package forecaster

import (
	"math"
	"time"
)

// Settings say how the demand is followed.
type Settings struct {
	// LevelTime and TrendTime are the time constants of the smoothing.
	LevelTime time.Duration
	TrendTime time.Duration
	// LeadTime is how far ahead a rising demand is expected. It is the time that
	// a further copy takes until it serves.
	LeadTime time.Duration
	// HoldTime is how long copies are kept for a demand after its last peak.
	HoldTime time.Duration
}

// Default returns the settings for a weight store that loads a model in seconds.
func Default() Settings {
	return Settings{
		LevelTime: 8 * time.Second, TrendTime: 20 * time.Second,
		LeadTime: 5 * time.Second, HoldTime: time.Minute,
	}
}

// Row is the demand for one name. Rates are requests per second.
type Row struct {
	Level float64
	Trend float64 // change of the level in a second
	// Peak is the highest level of late. It is kept until HeldUntil.
	Peak      float64
	HeldUntil time.Time
}

// Table is the demand by name. Its zero value is empty.
type Table struct {
	Rows      map[string]Row
	UpdatedAt time.Time
}

// negligible is the level in requests per second below which a name is forgotten.
const negligible = 0.01

// Update takes the rates observed now into the table.
func (t *Table) Update(now time.Time, rates map[string]float64, s Settings) {
	if t.Rows == nil {
		t.Rows = map[string]Row{}
	}
	passed := now.Sub(t.UpdatedAt).Seconds()
	if passed <= 0 {
		return
	}
	for name, rate := range rates {
		if _, known := t.Rows[name]; !known && rate >= negligible {
			t.Rows[name] = Row{Level: rate}
		}
	}
	for name, row := range t.Rows {
		row.follow(rates[name], passed, s)
		row.hold(now, s)
		if row.Level < negligible && row.Peak < negligible {
			delete(t.Rows, name)
			continue
		}
		t.Rows[name] = row
	}
	t.UpdatedAt = now
}

// follow smooths the level and the trend.
func (r *Row) follow(rate, passed float64, s Settings) {
	level := weight(passed, s.LevelTime)
	trend := weight(passed, s.TrendTime)
	before := r.Level
	r.Level += level * (rate - r.Level)
	r.Trend += trend * ((r.Level-before)/passed - r.Trend)
}

// weight is that of a new value after a time.
func weight(passed float64, constant time.Duration) float64 {
	if constant <= 0 {
		return 1
	}
	return 1 - math.Exp(-passed/constant.Seconds())
}

// hold keeps the peak until its deadline.
func (r *Row) hold(now time.Time, s Settings) {
	if r.Level >= r.Peak {
		r.Peak = r.Level
		r.HeldUntil = now.Add(s.HoldTime)
	} else if !now.Before(r.HeldUntil) {
		r.Peak = r.Level
	}
}

// Expected returns the rates that are expected when a copy ordered now serves.
func (t *Table) Expected(s Settings) map[string]float64 {
	rates := make(map[string]float64, len(t.Rows))
	for name, row := range t.Rows {
		rates[name] = row.Level + max(0, row.Trend)*s.LeadTime.Seconds()
	}
	return rates
}

// Floors returns the rates that copies are kept for.
func (t *Table) Floors() map[string]float64 {
	rates := make(map[string]float64, len(t.Rows))
	for name, row := range t.Rows {
		rates[name] = row.Peak
	}
	return rates
}
