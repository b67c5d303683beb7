// Package forecaster tracks and extrapolates the demand for each model and
// adapter: its smoothed level, its trend, and its recent peak, for which copies
// are kept. It has no clock; the caller passes the time of each update.
package forecaster

import (
	"math"
	"time"
)

// Settings configure the forecast.
type Settings struct {
	// LevelTime and TrendTime are the time constants of the exponential
	// smoothing of level and trend.
	LevelTime time.Duration
	TrendTime time.Duration
	// LeadTime is how far ahead a rising demand is extrapolated. It is the time
	// until a further copy can serve requests.
	LeadTime time.Duration
	// HoldTime is how long a peak is kept after the level last reached it.
	HoldTime time.Duration
}

// Default returns the settings for a weight store that loads a model within
// seconds.
func Default() Settings {
	return Settings{
		LevelTime: 8 * time.Second, TrendTime: 20 * time.Second,
		LeadTime: 5 * time.Second, HoldTime: time.Minute,
	}
}

// Row is the demand for one model or adapter. Rates are in requests per second.
type Row struct {
	Level float64
	Trend float64 // change of Level per second
	// Peak is the highest recent level. It is kept until HeldUntil.
	Peak      float64
	HeldUntil time.Time
}

// Table is the demand by name of the model or adapter. The zero value is an
// empty table.
type Table struct {
	Rows      map[string]Row
	UpdatedAt time.Time
}

// negligibleRate is the rate in requests per second below which level and peak
// are negligible, so that the name is removed from the table.
const negligibleRate = 0.01

// Update updates the table with the rates observed at a time. A time that is
// not after that of the previous update changes nothing.
func (t *Table) Update(now time.Time, rates map[string]float64, s Settings) {
	if t.Rows == nil {
		t.Rows = map[string]Row{}
	}
	elapsedSeconds := now.Sub(t.UpdatedAt).Seconds()
	if elapsedSeconds <= 0 {
		return
	}
	for name, rate := range rates {
		if _, known := t.Rows[name]; !known && rate >= negligibleRate {
			t.Rows[name] = Row{Level: rate}
		}
	}
	for name, row := range t.Rows {
		row.smooth(rates[name], elapsedSeconds, s)
		row.updatePeak(now, s)
		if row.Level < negligibleRate && row.Peak < negligibleRate {
			delete(t.Rows, name)
			continue
		}
		t.Rows[name] = row
	}
	t.UpdatedAt = now
}

// smooth updates level and trend by exponential smoothing.
func (r *Row) smooth(rate, elapsedSeconds float64, s Settings) {
	levelWeight := smoothingWeight(elapsedSeconds, s.LevelTime)
	trendWeight := smoothingWeight(elapsedSeconds, s.TrendTime)
	previousLevel := r.Level
	r.Level += levelWeight * (rate - r.Level)
	r.Trend += trendWeight * ((r.Level-previousLevel)/elapsedSeconds - r.Trend)
}

// smoothingWeight returns the weight of a new value after the elapsed seconds.
func smoothingWeight(elapsedSeconds float64, timeConstant time.Duration) float64 {
	if timeConstant <= 0 {
		return 1
	}
	return 1 - math.Exp(-elapsedSeconds/timeConstant.Seconds())
}

// updatePeak raises the peak to the level, or lowers it once its deadline has
// passed.
func (r *Row) updatePeak(now time.Time, s Settings) {
	if r.Level >= r.Peak {
		r.Peak = r.Level
		r.HeldUntil = now.Add(s.HoldTime)
	} else if !now.Before(r.HeldUntil) {
		r.Peak = r.Level
	}
}

// Expected returns the rates to expect when a copy that is ordered now can
// serve requests. A falling trend is not extrapolated.
func (t *Table) Expected(s Settings) map[string]float64 {
	rates := make(map[string]float64, len(t.Rows))
	for name, row := range t.Rows {
		rates[name] = row.Level + max(0, row.Trend)*s.LeadTime.Seconds()
	}
	return rates
}

// PeakRates returns the recent peak rates, for which copies are kept.
func (t *Table) PeakRates() map[string]float64 {
	rates := make(map[string]float64, len(t.Rows))
	for name, row := range t.Rows {
		rates[name] = row.Peak
	}
	return rates
}
