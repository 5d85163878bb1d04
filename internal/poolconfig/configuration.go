package poolconfig

import "strings"

// Configuration is one version of what operators wrote. It never changes.
type Configuration struct {
	Version int64
	Queues  []Queue
	Pools   []Pool
}

// Services returns the names of all services, as configured.
func (c *Configuration) Services() []string {
	names := make([]string, len(c.Pools))
	for i := range c.Pools {
		names[i] = c.Pools[i].Service
	}
	return names
}

// Find returns the queue of a call to host and path, that with the longest
// prefix, and the rest of the path.
func (c *Configuration) Find(host, path string) (queue *Queue, rest string) {
	for i := range c.Queues {
		q := &c.Queues[i]
		if q.Host == host && strings.HasPrefix(path, q.Prefix) && (queue == nil || len(q.Prefix) > len(queue.Prefix)) {
			queue, rest = q, path[len(q.Prefix):]
		}
	}
	return queue, rest
}
