package poolmanager

import (
	"context"

	"go.uber.org/zap"

	"persimmonbay/internal/poolstore"
	"persimmonbay/internal/store"
	"persimmonbay/internal/telemetry"
)

// confirmLoop confirms to the machine controller that machines are empty that it
// requested to be emptied, until the ownership ends.
func (o *poolOwnership) confirmLoop() {
	confirmed := make(map[string]int64) // by machine: the revision of the request
	for {
		select {
		case <-o.ctx.Done():
			return
		case <-o.confirm:
		}
		o.confirmEmptied(confirmed)
	}
}

// confirmEmptied writes the confirmations that are due. confirmed holds the requests
// that this owner has confirmed, as the watch shows a confirmation only later.
func (o *poolOwnership) confirmEmptied(confirmed map[string]int64) {
	view := o.requests.Get()
	for machine, request := range view.empty {
		if request.Pool != o.service || request.Emptied || confirmed[machine] == request.revision {
			continue
		}
		request.Emptied = true
		value, err := poolstore.EncodeEmptyRequest(&request.EmptyRequest)
		if err != nil {
			o.log.Error("machine not confirmed as empty, as the confirmation cannot be encoded", telemetry.ProblemFields(err)...)
			continue
		}
		if !o.pool.ClaimEmpty(machine, request.Worker) {
			continue
		}
		ctx, cancel := context.WithTimeout(o.ctx, o.timing.StoreTimeout)
		key := poolstore.EmptyRequestKey(machine)
		_, err = o.Store.Commit(ctx, store.Txn{
			Expected: []store.Expectation{{Key: key, Revision: request.revision}, {Key: poolstore.OwnerKey(o.service), Revision: o.token}},
			Writes:   []store.Write{{Key: key, Value: value}},
		})
		cancel()
		if err == nil {
			confirmed[machine] = request.revision
		} else {
			o.log.Info("machine not confirmed as empty, trying again with the next plan", append(telemetry.ProblemFields(err), zap.String("machine", machine))...)
		}
	}
}
