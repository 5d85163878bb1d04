package scheduler

// applyFormerEnds applies the ends in a reply of an incarnation that is over: it is not
// w's present one, or w is lost. What ended there stays ended, however late the reply is
// read. Its ends are not acknowledged any more, so their numbers do not matter.
func (p *Pool) applyFormerEnds(w *worker, reply *PollReply) {
	for i := range reply.Ends {
		e := &reply.Ends[i]
		j := p.jobs[e.Task.Job]
		if j == nil {
			continue
		}
		t := p.taskOf(j, e.Task)
		if t == nil {
			continue
		}
		t.attempt = max(t.attempt, e.Attempt)
		t.noteEnd(w, reply.Incarnation, e)
		switch e.Kind {
		case EndDone:
			p.applyDone(w, t, nil, reply.ReceivedAt)
		case EndFailed:
			p.runFailed(t, e.Attempt, w, reply.ReceivedAt)
		default:
		}
	}
}
