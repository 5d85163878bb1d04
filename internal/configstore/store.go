package configstore

import (
	"context"
	"encoding/json"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"

	"persimmonbay/internal/configfile"
	"persimmonbay/internal/configuration"
	"persimmonbay/internal/platform"
	"persimmonbay/internal/platform/api"
	"persimmonbay/internal/problem"
)

// CurrentKey holds the accepted configuration.
const CurrentKey = "persimmonbay/configuration/current"

// documentName stands for the accepted document in findings.
const documentName = "configuration"

// Store reads and writes accepted configurations. It holds no state but the
// platform's.
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
	kv, err := s.read(ctx, CurrentKey)
	if problem.Is(err, problem.NotFound) {
		return configuration.Versioned{}, nil
	}
	if err != nil {
		return configuration.Versioned{}, err
	}
	return Decode(kv)
}

// Apply makes source the accepted configuration if the current version is
// still base, and returns its version.
//
// An error of kind Conflict names who came first, and one of kind Unavailable
// says that the store was not asked: neither was nor will be accepted. An
// error of kind Interrupted says that nobody can tell yet. Any other kind
// refuses the document.
func (s *Store) Apply(ctx context.Context, operator string, base configuration.Version, source []byte) (configuration.Version, error) {
	if _, err := configfile.ParseConfiguration(documentName, source); err != nil {
		return 0, err
	}
	replaced, err := s.base(ctx, base)
	if err != nil {
		return 0, err
	}
	if err := s.keepHistory(ctx, replaced); err != nil {
		return 0, err
	}
	r := record{
		Operator: operator,
		Applied:  s.clock.Now().UTC(),
		Base:     base,
		Sequence: replaced.Record.Sequence + 1,
		Nonce:    uuid.NewString(),
		Source:   source,
	}
	return s.propose(ctx, r)
}

// base returns the current record if its version is the demanded one.
func (s *Store) base(ctx context.Context, demanded configuration.Version) (historic, error) {
	current, err := s.current(ctx)
	if err != nil {
		return historic{}, notAsked(err)
	}
	if current.Version != demanded {
		return historic{}, s.conflict(ctx, demanded, current)
	}
	return current, nil
}

// current returns the current record; version 0 when there is none.
func (s *Store) current(ctx context.Context) (historic, error) {
	kv, err := s.read(ctx, CurrentKey)
	if problem.Is(err, problem.NotFound) {
		return historic{}, nil
	}
	if err != nil {
		return historic{}, err
	}
	h := historic{Version: configuration.Version(kv.Version)}
	if err := json.Unmarshal(kv.Value, &h.Record); err != nil {
		return historic{}, problem.Wrap(problem.Internal, problem.StepConfiguration, kv.Key, err)
	}
	return h, nil
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
