package configreview

import "persimmonbay/internal/poolconfig"

// maxSpecBytes is the length of the longest spec of a job.
const maxSpecBytes = 4000

// reviewLimits reports limits of requests that contradict each other or stop valid jobs.
func reviewLimits(l poolconfig.Limits) []Finding {
	var found []Finding
	report := finder(&found, "limits")
	if l.MaxHeaderBytes < 0 || l.MaxBodyBytes < 0 || l.HeaderTimeout < 0 || l.IdleTimeout < 0 {
		report(Error, "a limit is negative")
	}
	if l.MaxBodyBytes > 0 && l.MaxBodyBytes < maxSpecBytes {
		report(Warning, "the limit of %d bytes for a body is less than the spec of a job may have, %d", l.MaxBodyBytes, maxSpecBytes)
	}
	if l.IdleTimeout > 0 && l.HeaderTimeout > l.IdleTimeout {
		report(Warning, "the timeout of a header, %v, is longer than that of an idle connection, %v", l.HeaderTimeout, l.IdleTimeout)
	}
	return found
}
