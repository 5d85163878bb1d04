package configreview

import (
	"fmt"

	"persimmonbay/internal/poolconfig"
	"persimmonbay/internal/scheduler"
)

// wholeCore is one core, in thousandths.
const wholeCore = 1000

// reviewTeams reports teams that have no callers, no share of a full pool, or a cap that is
// seldom meant. Names and keys that teams share are refused at decoding.
func reviewTeams(c *poolconfig.Configuration) []Finding {
	var found []Finding
	for i := range c.Teams {
		t := &c.Teams[i]
		report := finder(&found, fmt.Sprintf("teams[%d]", i))
		if len(t.Keys) == 0 {
			report(Warning, "team %s has no keys: no caller is recognised as the team's", quoted(t.Name))
		}
		if t.Weight == 0 {
			report(Warning, "team %s has weight 0: while a pool is full its jobs go after those of all teams within their weights, and may be refused", quoted(t.Name))
		}
		reviewCap(t.Cap, report)
	}
	return found
}

// reviewCap reports a cap that stops tasks which need a core, or bounds some resource alone.
func reviewCap(most scheduler.Resources, report func(Severity, string, ...any)) {
	if most.MilliCPU < 0 || most.MemoryMB < 0 || most.Accelerators < 0 {
		report(Error, "the cap is negative: no task fits")
		return
	}
	if most.MilliCPU > 0 && most.MilliCPU < wholeCore {
		report(Warning, "the cap of %d thousandths of a core is less than one core: no task that needs a core starts", most.MilliCPU)
	}
	var limited []string
	for _, part := range []struct {
		name   string
		amount int
	}{{"cores", most.MilliCPU}, {"memory", most.MemoryMB}, {"accelerators", most.Accelerators}} {
		if part.amount > 0 {
			limited = append(limited, part.name)
		}
	}
	if len(limited) == 1 {
		report(Warning, "the cap limits only %s: the other resources have no limit", limited[0])
	}
}
