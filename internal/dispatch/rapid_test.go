package dispatch_test

import (
	"flag"
	"strconv"

	"persimmonbay/internal/membership"
)

// membershipID is short for the ID of an entry.
type membershipID = membership.EntryID

// setChecks sets how many seeds rapid runs.
func setChecks(n int) error { return flag.Set("rapid.checks", strconv.Itoa(n)) }
