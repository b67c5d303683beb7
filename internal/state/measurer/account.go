package measurer

import "github.com/rcrowley/go-metrics"

// Admission is what became of a request at the quota of its account.
type Admission string

// Admissions.
const (
	Admitted Admission = "Admitted"
	// OverQuota counts requests beyond the quota, and WithoutGranter those for which no
	// instance could tell.
	OverQuota      Admission = "OverQuota"
	WithoutGranter Admission = "WithoutGranter"
)

// CountAdmission counts a request of an account, and the amount that it was charged.
func (m *Measurer) CountAdmission(account string, admission Admission, amount float64) {
	name := m.boundedName("Account." + account)
	metrics.GetOrRegisterCounter(name+"."+string(admission), m.registry).Inc(1)
	if admission == Admitted {
		metrics.GetOrRegisterCounter(name+".Charged", m.registry).Inc(int64(amount))
	}
}
