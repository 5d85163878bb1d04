package placement

import (
	"fmt"
	"time"

	"persimmonbay/internal/fleet"
	"persimmonbay/internal/problem"
)

// Admit returns nil when j fits a worker and its team's quota, and otherwise a
// *problem.Error. Its kind is Invalid, with the limiting resource or field, when
// j can never run, and Unavailable while no worker is listed.
func Admit(j Job, team Team, configured bool, workers []Worker, now time.Time) error {
	switch {
	case !configured:
		return refusal(j, "the team has no quota for jobs")
	case j.Class > team.TopClass:
		return refusal(j, fmt.Sprintf("class: the team may use %s at most", team.TopClass))
	case j.Size.MilliCores <= 0 || j.Size.MemoryMB <= 0 || j.Size.Accelerators < 0:
		return refusal(j, "size: expected processors and memory above 0")
	case !j.Deadline.IsZero() && !j.Deadline.After(now.Add(j.RunTime)):
		return refusal(j, fmt.Sprintf("deadline: a run time of %s ends after it", j.RunTime))
	case len(workers) == 0:
		return problem.New(problem.Unavailable, problem.StepPlace, "", "no worker is listed yet")
	}
	if limit := quotaLimit(j.Size, team.Quota); limit != "" {
		return refusal(j, limit)
	}
	if limit := workerLimit(j.Size, workers); limit != "" {
		return refusal(j, limit)
	}
	return nil
}

func refusal(j Job, detail string) error {
	return problem.New(problem.Invalid, problem.StepPlace, j.Team, "the job can never run: "+detail)
}

func quotaLimit(size, quota fleet.Resources) string {
	switch {
	case size.Accelerators > quota.Accelerators:
		return fmt.Sprintf("accelerators: it needs %d and the team's quota is %d", size.Accelerators, quota.Accelerators)
	case size.MemoryMB > quota.MemoryMB:
		return fmt.Sprintf("memory: it needs %d MB and the team's quota is %d MB", size.MemoryMB, quota.MemoryMB)
	case size.MilliCores > quota.MilliCores:
		return fmt.Sprintf("processors: it needs %d milliCores and the team's quota is %d", size.MilliCores, quota.MilliCores)
	}
	return ""
}

// workerLimit describes the resource that prevents size from fitting any worker,
// or returns the empty string when size fits one. Accelerators are compared
// first, then memory among the workers with enough accelerators, then processors
// among the workers with enough of both.
func workerLimit(size fleet.Resources, workers []Worker) string {
	var largest, withAccelerators, withMemory fleet.Resources
	for i := range workers {
		has := workers[i].Size
		largest = largest.Max(has)
		if has.Accelerators < size.Accelerators {
			continue
		}
		withAccelerators = withAccelerators.Max(has)
		if has.MemoryMB >= size.MemoryMB {
			withMemory = withMemory.Max(has)
		}
	}
	switch {
	case size.Accelerators > largest.Accelerators:
		return fmt.Sprintf("accelerators: it needs %d and the largest worker has %d", size.Accelerators, largest.Accelerators)
	case size.MemoryMB > withAccelerators.MemoryMB:
		return fmt.Sprintf("memory: it needs %d MB and the largest worker%s has %d MB", size.MemoryMB, acceleratorCondition(size), withAccelerators.MemoryMB)
	case size.MilliCores > withMemory.MilliCores:
		return fmt.Sprintf("processors: it needs %d milliCores and the largest worker with that memory%s has %d", size.MilliCores, acceleratorCondition(size), withMemory.MilliCores)
	}
	return ""
}

func acceleratorCondition(size fleet.Resources) string {
	if size.Accelerators == 0 {
		return ""
	}
	return fmt.Sprintf(" with %d accelerators", size.Accelerators)
}
