package dispatch_test

import (
	"flag"
	"strconv"

	"persimmonbay/internal/membership"
)

// membershipID is a short name for the ID of an entry.
type membershipID = membership.EntryID

// setChecks sets how many random sequences rapid runs.
func setChecks(n int) error { return flag.Set("rapid.checks", strconv.Itoa(n)) }
