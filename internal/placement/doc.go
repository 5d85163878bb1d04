// Package placement decides which jobs run on which workers. It turns a
// snapshot of workers, jobs and usage into the next starts, preemptions and
// ends, and a job and the platform's word on its task into the job's next
// state. It takes plain values and the time; it does nothing itself.
package placement
