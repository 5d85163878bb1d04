package poolmanager

import (
	"context"
	"crypto/rand"

	"persimmonbay/internal/poolstore"
	"persimmonbay/internal/problem"
	"persimmonbay/internal/store"
	"persimmonbay/internal/telemetry"
)

// secretBytes is the size of the secret: that of the digest that it keys.
const secretBytes = 32

// createSecret writes a random secret to the store, unless there is one.
func (m *Manager) createSecret(ctx context.Context) {
	view := m.fleet.Get()
	if !view.known || view.secret != nil {
		return
	}
	secret := make([]byte, secretBytes)
	if _, err := rand.Read(secret); err != nil {
		m.Log.Error("secret for authentication between entries not generated", telemetry.ProblemFields(err)...)
		return
	}
	limited, cancel := context.WithTimeout(ctx, m.timing.StoreTimeout)
	defer cancel()
	_, err := m.Store.Commit(limited, store.Txn{
		Expected: []store.Expectation{{Key: poolstore.SecretKey}},
		Writes:   []store.Write{{Key: poolstore.SecretKey, Value: secret}},
	})
	if err != nil && !problem.Is(err, problem.Conflict) {
		m.Log.Info("secret for authentication between entries not written, trying again", telemetry.ProblemFields(err)...)
	}
}
