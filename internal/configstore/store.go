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

// CurrentKey is the key of the current configuration.
const CurrentKey = "persimmonbay/configuration/current"

// documentName is the file name of an accepted document in findings.
const documentName = "configuration"

// Store reads and writes accepted configurations. All its state is in the
// platform's store, so it is safe for concurrent use.
type Store struct {
	store platform.Store
	clock clockwork.Clock
}

// New returns a Store that uses the platform's store.
func New(store platform.Store, clock clockwork.Clock) *Store {
	return &Store{store: store, clock: clock}
}

// Load returns the current configuration, with version 0 if there is none.
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

// Apply makes source the current configuration if the current version is still
// base, and returns the new version.
//
// An error of kind Conflict means that another configuration was accepted first;
// it has the other operator's name if that can be read. An error of kind
// Unavailable means that the write was not sent. In both cases source is not
// accepted, neither now nor later. After kind Interrupted the outcome is unknown.
// Any other error means that the document is not valid.
func (s *Store) Apply(ctx context.Context, operator string, base configuration.Version, source []byte) (configuration.Version, error) {
	if _, err := configfile.ParseConfiguration(documentName, source); err != nil {
		return 0, err
	}
	replaced, err := s.base(ctx, base)
	if err != nil {
		return 0, err
	}
	if err := s.saveHistory(ctx, replaced); err != nil {
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

// base returns the current record if it has the required version, and a Conflict
// error otherwise.
func (s *Store) base(ctx context.Context, required configuration.Version) (versionedRecord, error) {
	current, err := s.current(ctx)
	if err != nil {
		return versionedRecord{}, notSent(err)
	}
	if current.Version != required {
		return versionedRecord{}, s.conflict(ctx, required, current)
	}
	return current, nil
}

// current returns the current record, with version 0 if there is none.
func (s *Store) current(ctx context.Context) (versionedRecord, error) {
	kv, err := s.read(ctx, CurrentKey)
	if problem.Is(err, problem.NotFound) {
		return versionedRecord{}, nil
	}
	if err != nil {
		return versionedRecord{}, err
	}
	v := versionedRecord{Version: configuration.Version(kv.Version)}
	if err := json.Unmarshal(kv.Value, &v.Record); err != nil {
		return versionedRecord{}, problem.Wrap(problem.Internal, problem.StepConfiguration, kv.Key, err)
	}
	return v, nil
}

// Decode decodes the value of CurrentKey.
func Decode(kv api.KeyValue) (configuration.Versioned, error) {
	var r record
	if err := json.Unmarshal(kv.Value, &r); err != nil {
		return configuration.Versioned{}, problem.Wrap(problem.Internal, problem.StepConfiguration, kv.Key, err)
	}
	return Parse(configuration.Version(kv.Version), r.Source)
}

// Parse parses an accepted document that has the given version.
func Parse(version configuration.Version, source []byte) (configuration.Versioned, error) {
	c, err := configfile.ParseConfiguration(documentName, source)
	if err != nil {
		return configuration.Versioned{}, err
	}
	return configuration.Versioned{Version: version, Configuration: c, Source: source}, nil
}
