// Package placement decides which jobs run on which workers. Plan derives the
// next starts, preemptions and ends from a snapshot of workers, jobs and usage;
// the methods of Job derive a job's next state from a decision or from the
// platform's report of its task. All functions are pure: they take plain values
// and the time, and have no side effects.
package placement
