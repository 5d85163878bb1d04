package intake_test

import (
	"context"

	"persimmonbay/internal/door"
	"persimmonbay/internal/intake"
)

// noOwners implements intake.OwnerNotifier for pools without owners.
type noOwners struct{}

var _ intake.OwnerNotifier = noOwners{}

func (noOwners) Owner(string) intake.Owner                            { return intake.Owner{} }
func (noOwners) Accepted(intake.Owner, string, string, []byte, int64) {}
func (noOwners) Cancelled(string, string, int64)                      {}
func (noOwners) Pending(context.Context, string, string) (int, bool)  { return 0, false }
func (noOwners) Report(string) *door.Report                           { return nil }
