package poolconfig

import "strings"

// Configuration is one version of the operators' configuration. It is immutable.
type Configuration struct {
	Version int64
	Queues  []Queue
	Pools   []Pool
	Teams   []Team // empty: callers are not told apart
	Limits  Limits
}

// Services returns the names of all services, in the order of the configuration.
func (c *Configuration) Services() []string {
	names := make([]string, len(c.Pools))
	for i := range c.Pools {
		names[i] = c.Pools[i].Service
	}
	return names
}

// Find returns the queue of a request to host and path, and the path after the
// queue's prefix. Among several matching queues it returns the one with the longest
// prefix; without a match it returns nil.
func (c *Configuration) Find(host, path string) (queue *Queue, rest string) {
	for i := range c.Queues {
		q := &c.Queues[i]
		if q.Host == host && strings.HasPrefix(path, q.Prefix) && (queue == nil || len(q.Prefix) > len(queue.Prefix)) {
			queue, rest = q, path[len(q.Prefix):]
		}
	}
	return queue, rest
}
