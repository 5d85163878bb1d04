package configreview

import (
	"fmt"
	"strings"

	"persimmonbay/internal/poolconfig"
)

// reviewQueues reports queues that no request can reach or whose jobs no worker can take,
// names that are used twice, and times that contradict each other.
func reviewQueues(c *poolconfig.Configuration) []Finding {
	var found []Finding
	if len(c.Queues) == 0 {
		finder(&found, "queues")(Warning, "there are none: no job can be sent")
	}
	pools := make(map[string]poolconfig.Pool, len(c.Pools))
	for _, p := range c.Pools {
		pools[p.Service] = p
	}
	names := make(map[string]int, len(c.Queues))
	addresses := make(map[[2]string]int, len(c.Queues))
	for i := range c.Queues {
		q := &c.Queues[i]
		report := finder(&found, fmt.Sprintf("queues[%d]", i))
		if first, used := names[q.Name]; used {
			report(Error, "name %s: also that of queues[%d]", quoted(q.Name), first)
		} else {
			names[q.Name] = i
		}
		// Among different prefixes the longest one wins, so only an equal one hides a queue.
		address := [2]string{q.Host, q.Prefix}
		if first, used := addresses[address]; used {
			report(Error, "never matches: queues[%d] before it has the same host and prefix", first)
		} else {
			addresses[address] = i
		}
		reviewAddress(q, report)
		pool, configured := pools[q.Service]
		switch {
		case !configured:
			report(Error, "service %s is not configured", quoted(q.Service))
		case pool.Standby:
			report(Warning, "service %s is a standby pool: its machines are off", quoted(q.Service))
		}
		if q.Timeout > 0 && q.Timeout < q.Objective {
			report(Warning, "timeout %v is shorter than the objective %v", q.Timeout, q.Objective)
		}
	}
	return found
}

// reviewAddress reports a host and a prefix that match no request, or more than is usual.
// Hosts of requests have no port, and paths begin with a slash.
func reviewAddress(q *poolconfig.Queue, report func(Severity, string, ...any)) {
	switch {
	case q.Host == "":
		report(Error, "the host is empty: matches no request")
	case strings.Count(q.Host, ":") == 1: // an IPv6 address has more
		report(Error, "never matches: the host %s has a port", quoted(q.Host))
	}
	switch {
	case q.Prefix == "":
		report(Warning, "the prefix is empty: matches every path of the host")
	case q.Prefix[0] != '/':
		report(Error, "never matches: the prefix %s does not begin with a slash", quoted(q.Prefix))
	}
}
