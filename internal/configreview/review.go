package configreview

import (
	"fmt"
	"slices"

	"persimmonbay/internal/poolconfig"
)

// Review returns the findings of c: errors first, each severity in the order of the
// configuration. Of more than 500 findings the last one returned gives the number of those
// left out; it is an error if one of them is.
func Review(c *poolconfig.Configuration) []Finding {
	found := slices.Concat(reviewQueues(c), reviewPools(c), reviewTeams(c), reviewLimits(c.Limits))
	slices.SortStableFunc(found, func(a, b Finding) int { return a.Severity.rank() - b.Severity.rank() })
	if left := len(found) - maxListed + 1; left > 1 {
		severity := found[maxListed-1].Severity
		found = append(found[:maxListed-1], Finding{severity, "configuration", fmt.Sprintf("%d more findings", left)})
	}
	return found
}

// HasError reports whether one of the findings is an error.
func HasError(found []Finding) bool {
	return slices.ContainsFunc(found, func(f Finding) bool { return f.Severity == Error })
}

func (s Severity) rank() int {
	if s == Error {
		return 0
	}
	return 1
}

// finder returns a function that appends findings about one entry to found.
func finder(found *[]Finding, place string) func(severity Severity, format string, args ...any) {
	return func(severity Severity, format string, args ...any) {
		*found = append(*found, Finding{severity, place, fmt.Sprintf(format, args...)})
	}
}
