package configuration

import (
	"fmt"

	"persimmonbay/internal/problem"
)

// Check returns the faults of c that involve more than one field: duplicate
// names, references to pools and teams that do not exist, and a number of spare
// pools other than one. Findings have paths but no files or lines.
func Check(c *Configuration) problem.Findings {
	var findings problem.Findings
	findings = append(findings, duplicateNames("teams", len(c.Teams), func(i int) string { return c.Teams[i].Name })...)
	findings = append(findings, duplicateNames("pools", len(c.Pools), func(i int) string { return c.Pools[i].Name })...)
	findings = append(findings, duplicateNames("services", len(c.Services), func(i int) string { return c.Services[i].Name })...)
	findings = append(findings, duplicateNames("classes", len(c.Classes), func(i int) string { return c.Classes[i].Class.String() })...)
	findings = append(findings, checkServicePools(c)...)
	findings = append(findings, checkJobs(c)...)
	return append(findings, checkSparePool(c)...)
}

func duplicateNames(field string, n int, name func(int) string) problem.Findings {
	var findings problem.Findings
	first := make(map[string]int, n)
	for i := range n {
		j, seen := first[name(i)]
		if !seen {
			first[name(i)] = i
			continue
		}
		findings = append(findings, problem.Finding{
			Path:     fmt.Sprintf("%s[%d]", field, i),
			Expected: fmt.Sprintf("expected a unique name, found %q again (first at %s[%d])", name(i), field, j),
		})
	}
	return findings
}

func checkServicePools(c *Configuration) problem.Findings {
	var findings problem.Findings
	for i := range c.Services {
		if _, ok := c.Pool(c.Services[i].Pool); !ok {
			findings = append(findings, problem.Finding{
				Path:     fmt.Sprintf("services[%d].pool", i),
				Expected: fmt.Sprintf("expected the name of a pool, found %q", c.Services[i].Pool),
			})
		}
	}
	return findings
}

func checkSparePool(c *Configuration) problem.Findings {
	spares := 0
	for i := range c.Pools {
		if c.Pools[i].Spare {
			spares++
		}
	}
	if spares == 1 {
		return nil
	}
	return problem.Findings{{Path: "pools", Expected: fmt.Sprintf("expected exactly one spare pool, found %d", spares)}}
}
