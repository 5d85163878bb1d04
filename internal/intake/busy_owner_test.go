package intake_test

import "persimmonbay/internal/door"

// busyOwner implements intake.OwnerNotifier for a pool whose owner sends a report.
type busyOwner struct {
	noOwners
	report *door.Report
}

// Report returns the owner's report.
func (o *busyOwner) Report(string) *door.Report { return o.report }
