package scheduler_test

import (
	"fmt"
	"math/rand"
	"slices"
	"time"

	"persimmonbay/internal/scheduler"
)

// lossyPool plays one owner among workers that leave a share of all calls without an
// answer, in virtual time. Calls without an answer are not carried out.
type lossyPool struct {
	*scene
	random     *rand.Rand
	lossShare  float64
	answerTime func(worker string) time.Duration
	workers    []*lossyWorker
	waiting    []scheduler.StartOrder // those without an answer
	lostAt     map[scheduler.TaskID]time.Time
	unseen     []time.Duration // from the end of each task to the reply that listed it
	startWaits []time.Duration // from each lost first copy of a start to the copy that was accepted
	polls      int
}

const (
	lossyStep     = time.Millisecond
	lossyTaskTime = 600 * time.Millisecond
)

func newLossyPool(t scheduler.Timing, seed int64, lossShare float64, answerTime func(string) time.Duration) *lossyPool {
	var infos []scheduler.WorkerInfo
	p := &lossyPool{random: rand.New(rand.NewSource(seed)), lossShare: lossShare, answerTime: answerTime, lostAt: map[scheduler.TaskID]time.Time{}}
	for i := range 12 {
		info := worker(fmt.Sprintf("w%02d", i))
		info.Capacity.MilliCPU = 8000
		infos = append(infos, info)
		p.workers = append(p.workers, &lossyWorker{id: info.ID, running: map[scheduler.TaskID]scheduler.StartOrder{}, endsAt: map[scheduler.TaskID]time.Time{}, retry: pollRetry})
	}
	p.scene = newSceneWith(t, infos...)
	return p
}

// run adds a job of six tasks every 100 ms, which fills the pool, for the given time.
func (p *lossyPool) run(d time.Duration) {
	until, nextJob, jobs := p.now.Add(d), p.now, 0
	for p.now.Before(until) {
		if !p.now.Before(nextJob) {
			p.add(batchJob(fmt.Sprint("job-", jobs), 6))
			jobs, nextJob = jobs+1, nextJob.Add(100*time.Millisecond)
		}
		for _, w := range p.workers {
			w.advance(p.now)
			p.stepPoller(w)
		}
		if p.now.UnixMilli()%5 == 0 {
			for _, o := range p.plan().Starts {
				p.start(o)
			}
			p.save(token + 1)
		}
		p.timeOut()
		p.advance(lossyStep)
	}
}

func (p *lossyPool) lose() bool { return p.random.Float64() < p.lossShare }

func (p *lossyPool) worker(id string) *lossyWorker {
	return p.workers[slices.IndexFunc(p.workers, func(w *lossyWorker) bool { return w.id == id })]
}

func (p *lossyPool) start(o scheduler.StartOrder) {
	w := p.worker(o.Worker)
	takes := p.answerTime(o.Worker)
	if p.lose() {
		if o.Copies == 0 {
			p.lostAt[o.Task] = p.now
		}
		p.waiting = append(p.waiting, o)
		return
	}
	if o.Token < w.token {
		p.pool.StartAnswered(o, scheduler.Superseded, p.clock, p.now.Add(takes))
		return
	}
	if lost, ok := p.lostAt[o.Task]; ok {
		p.startWaits = append(p.startWaits, p.now.Sub(lost))
		delete(p.lostAt, o.Task)
	}
	w.token, w.running[o.Task], w.endsAt[o.Task] = o.Token, o, p.now.Add(lossyTaskTime)
	if takes > o.Timeout {
		p.waiting = append(p.waiting, o)
		return
	}
	p.pool.StartAnswered(o, scheduler.Accepted, p.clock, p.now.Add(takes))
}

// timeOut tells the pool of the starts whose time for an answer is over.
func (p *lossyPool) timeOut() {
	p.waiting = slices.DeleteFunc(p.waiting, func(o scheduler.StartOrder) bool {
		if p.now.Before(o.SentAt.Add(o.Timeout)) {
			return false
		}
		p.pool.StartAnswered(o, scheduler.NoResponse, 0, p.now)
		if w := p.worker(o.Worker); !w.sentAt.IsZero() && w.req.Wait > 0 && p.pool.PollFailed(w.id, scheduler.Withdrawn, p.now) {
			w.sentAt, w.nextAt = time.Time{}, p.now
		}
		return true
	})
}

// stepPoller takes the next step of a worker's poller, as poolmanager's poller does.
func (p *lossyPool) stepPoller(w *lossyWorker) {
	if w.sentAt.IsZero() {
		p.nextPoll(w)
		return
	}
	since, takes := p.now.Sub(w.sentAt), p.answerTime(w.id)
	if !w.lost && since >= takes && (len(w.ends) > 0 || since >= w.req.Wait+takes) {
		reply := scheduler.PollReply{Worker: w.id, SentAt: w.sentAt, ReceivedAt: p.now, Wait: w.req.Wait, AckedEnds: w.req.AckedEnds, Token: w.req.Token, Incarnation: 1, Clock: p.clock, Ends: slices.Clone(w.ends)}
		for _, o := range w.running {
			reply.Running = append(reply.Running, runReport(o))
		}
		for _, e := range w.ends {
			if at, ok := w.endsAt[e.Task]; ok {
				p.unseen = append(p.unseen, p.now.Sub(at))
				delete(w.endsAt, e.Task)
			}
		}
		p.pool.ApplyPoll(reply)
		w.sentAt, w.nextAt, w.retry = time.Time{}, p.now, pollRetry
		return
	}
	if since >= w.req.Wait+w.req.Timeout {
		w.sentAt, w.nextAt = time.Time{}, p.now
		if !p.pool.PollFailed(w.id, scheduler.NoResponse, p.now) {
			w.nextAt, w.retry = p.now.Add(w.retry), min(2*w.retry, maxPollRetry)
		}
	}
}

func (p *lossyPool) nextPoll(w *lossyWorker) {
	if p.now.Before(w.nextAt) {
		return
	}
	if p.now.Before(w.nextAt.Add(p.pool.PollPause(w.id))) {
		return
	}
	req, due := p.pool.NextPoll(w.id, p.now)
	if !due {
		return
	}
	if req.Deadline > 0 && !req.AtOnce && !p.pool.HasUnsavedEnds(w.id) && p.pool.HasRuns(w.id) && req.Timeout <= timing.OrderTimeout {
		req.Wait = pollWait
		if req.ShortWait {
			req.Wait /= shortWaits
		}
	}
	p.polls++
	w.req, w.sentAt, w.lost = req, p.now, p.lose()
	if !w.lost {
		w.token = max(w.token, req.Token)
		w.ends = slices.DeleteFunc(w.ends, func(e scheduler.EndReport) bool { return e.Number <= req.AckedEnds })
	}
}

// quantile returns the value below which the given share of the times lie.
func quantile(times []time.Duration, share float64) time.Duration {
	sorted := slices.Sorted(slices.Values(times))
	return sorted[min(int(share*float64(len(sorted))), len(sorted)-1)]
}
