package configreview

import (
	"fmt"

	"persimmonbay/internal/poolconfig"
)

// reviewPools reports pools without a name, and names that are used twice.
func reviewPools(c *poolconfig.Configuration) []Finding {
	var found []Finding
	names := make(map[string]int, len(c.Pools))
	for i := range c.Pools {
		report := finder(&found, fmt.Sprintf("pools[%d]", i))
		name := c.Pools[i].Service
		if name == "" {
			report(Error, "the name is empty")
		}
		if first, used := names[name]; used {
			report(Error, "name %s: also that of pools[%d]", quoted(name), first)
			continue
		}
		names[name] = i
	}
	return found
}
