package configstore

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"

	"persimmonbay/internal/configfile"
	"persimmonbay/internal/configuration"
	"persimmonbay/internal/platform"
	"persimmonbay/internal/platform/api"
	"persimmonbay/internal/problem"
)

// Keys in the platform's store.
const (
	// CurrentKey holds the accepted configuration.
	CurrentKey    = "persimmonbay/configuration/current"
	historyPrefix = "persimmonbay/configuration/history/"
)

// documentName stands for the accepted document in findings.
const documentName = "configuration"

// readBackTimeout bounds the look for one's own write after a lost answer.
const readBackTimeout = 5 * time.Second

// Store reads and writes accepted configurations.
type Store struct {
	store platform.Store
	clock clockwork.Clock
}

// New returns a store of configurations over the platform's store.
func New(store platform.Store, clock clockwork.Clock) *Store {
	return &Store{store: store, clock: clock}
}

// Load returns the accepted configuration; version 0 when there is none.
func (s *Store) Load(ctx context.Context) (configuration.Versioned, error) {
	kv, err := s.store.Get(ctx, CurrentKey)
	if problem.Is(err, problem.NotFound) {
		return configuration.Versioned{}, nil
	}
	if err != nil {
		return configuration.Versioned{}, err
	}
	return Decode(kv)
}

// Apply makes source the accepted configuration if the current version is
// still base, and returns its version. An error of kind Conflict names who
// came first.
func (s *Store) Apply(ctx context.Context, operator string, base configuration.Version, source []byte) (configuration.Version, error) {
	if _, err := configfile.ParseConfiguration(documentName, source); err != nil {
		return 0, err
	}
	if err := s.keepHistory(ctx, base); err != nil {
		return 0, err
	}
	r := record{Operator: operator, Applied: s.clock.Now().UTC(), Base: base, Nonce: uuid.NewString(), Source: source}
	value, err := json.Marshal(r)
	if err != nil {
		return 0, problem.Wrap(problem.Internal, problem.StepConfiguration, "", err)
	}
	version, err := s.store.Put(ctx, CurrentKey, value, platform.IfVersion(uint64(base)), "")
	switch problem.KindOf(err) {
	case problem.Conflict:
		return 0, s.conflict(ctx, base)
	case problem.Interrupted, problem.Timeout:
		return s.readBack(ctx, r.Nonce, err)
	}
	return configuration.Version(version), err
}

// keepHistory copies the version that is about to be replaced. It is repeated
// without harm.
func (s *Store) keepHistory(ctx context.Context, base configuration.Version) error {
	if base == 0 {
		return nil
	}
	kv, err := s.store.Get(ctx, CurrentKey)
	if err != nil {
		return err
	}
	if configuration.Version(kv.Version) != base {
		return s.conflict(ctx, base)
	}
	_, err = s.store.Put(ctx, historyKey(base), kv.Value, platform.Any(), "")
	return err
}

// conflict names the winner of a race.
func (s *Store) conflict(ctx context.Context, base configuration.Version) error {
	kv, err := s.store.Get(ctx, CurrentKey)
	if err != nil {
		return err
	}
	var winner record
	if err := json.Unmarshal(kv.Value, &winner); err != nil {
		return problem.Wrap(problem.Internal, problem.StepConfiguration, "", err)
	}
	return problem.New(problem.Conflict, problem.StepConfiguration, winner.Operator,
		fmt.Sprintf("version %d, applied by %s, replaced base %d; look at it with 'config show' and apply again with -base %d", kv.Version, winner.Operator, base, kv.Version))
}

// readBack looks for the write whose answer was lost: it is the current
// version, or in the history of one that replaced it since.
func (s *Store) readBack(ctx context.Context, nonce string, lost error) (configuration.Version, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), readBackTimeout)
	defer cancel()
	current, err := s.store.Get(ctx, CurrentKey)
	if err != nil && !problem.Is(err, problem.NotFound) {
		return 0, lost
	}
	history, err := s.store.List(ctx, historyPrefix)
	if err != nil {
		return 0, lost
	}
	for _, kv := range append(history.Items, current) {
		var r record
		if json.Unmarshal(kv.Value, &r) == nil && r.Nonce == nonce {
			return versionOf(kv), nil
		}
	}
	return 0, problem.Wrap(problem.Unavailable, problem.StepStoreWrite, "", lost)
}

// History returns the accepted versions, oldest first.
func (s *Store) History(ctx context.Context) ([]Applied, error) {
	history, err := s.store.List(ctx, historyPrefix)
	if err != nil {
		return nil, err
	}
	items := history.Items
	current, err := s.store.Get(ctx, CurrentKey)
	if err == nil {
		items = append(items, current)
	}
	applied := make([]Applied, 0, len(items))
	for _, kv := range items {
		var r record
		if err := json.Unmarshal(kv.Value, &r); err != nil {
			return nil, problem.Wrap(problem.Internal, problem.StepConfiguration, kv.Key, err)
		}
		applied = append(applied, Applied{Version: versionOf(kv), Base: r.Base, Operator: r.Operator, Applied: r.Applied})
	}
	return applied, nil
}

// Decode reads the stored form of the accepted configuration.
func Decode(kv api.KeyValue) (configuration.Versioned, error) {
	var r record
	if err := json.Unmarshal(kv.Value, &r); err != nil {
		return configuration.Versioned{}, problem.Wrap(problem.Internal, problem.StepConfiguration, kv.Key, err)
	}
	return Parse(configuration.Version(kv.Version), r.Source)
}

// Parse reads an accepted document that came with its version.
func Parse(version configuration.Version, source []byte) (configuration.Versioned, error) {
	c, err := configfile.ParseConfiguration(documentName, source)
	if err != nil {
		return configuration.Versioned{}, err
	}
	return configuration.Versioned{Version: version, Configuration: c, Source: source}, nil
}

func historyKey(v configuration.Version) string { return fmt.Sprintf("%s%020d", historyPrefix, v) }

// versionOf returns the version that kv, current or historic, stands for.
func versionOf(kv api.KeyValue) configuration.Version {
	text, historic := strings.CutPrefix(kv.Key, historyPrefix)
	if !historic {
		return configuration.Version(kv.Version)
	}
	var v configuration.Version
	if _, err := fmt.Sscanf(text, "%d", &v); err != nil {
		return 0
	}
	return v
}
