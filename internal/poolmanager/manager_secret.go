package poolmanager

import (
	"context"
	"crypto/rand"

	"persimmonbay/internal/poolstore"
	"persimmonbay/internal/problem"
	"persimmonbay/internal/store"
	"persimmonbay/internal/telemetry"
)

// secretBytes is the size of the secret: that of the digest it is used with.
const secretBytes = 32

// makeSecret has the store keep a secret, unless it keeps one.
func (k *Manager) makeSecret(ctx context.Context) {
	view := k.fleet.Get()
	if !view.known || view.secret != nil {
		return
	}
	secret := make([]byte, secretBytes)
	if _, err := rand.Read(secret); err != nil {
		k.Log.Error("no secret made", telemetry.ProblemFields(err)...)
		return
	}
	limited, cancel := context.WithTimeout(ctx, k.timing.StoreTimeout)
	defer cancel()
	_, err := k.Store.Commit(limited, store.Txn{
		Expected: []store.Expectation{{Key: poolstore.SecretKey}},
		Writes:   []store.Write{{Key: poolstore.SecretKey, Value: secret}},
	})
	if err != nil && !problem.Is(err, problem.Conflict) {
		k.Log.Info("secret not kept yet", telemetry.ProblemFields(err)...)
	}
}
