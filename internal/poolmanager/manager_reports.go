package poolmanager

import (
	"time"

	"persimmonbay/internal/door"
)

// Report returns the last report of the owner of service's pool on the work ahead, nil if
// there is none. If this entry owns the pool, the report is recent.
func (m *Manager) Report(service string) *door.Report {
	if report, _, ok := m.OwnReport(service); ok {
		return &report
	}
	report, _ := m.reports.Get(service)
	return report
}

// OwnReport returns the report on the pool of service and the current time; ok is false if
// this entry does not own the pool now, has not loaded it, or no teams are configured.
func (m *Manager) OwnReport(service string) (report door.Report, now time.Time, ok bool) {
	m.mu.Lock()
	o := m.ownerships[service]
	m.mu.Unlock()
	if o == nil || !o.loaded.Load() || !o.isValid() {
		return door.Report{}, time.Time{}, false
	}
	now = m.Clock.Now()
	report, ok = o.pool.DoorReport(now)
	return report, now, ok
}
