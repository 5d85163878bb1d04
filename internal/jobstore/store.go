package jobstore

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"persimmonbay/internal/platform"
	"persimmonbay/internal/platform/api"
	"persimmonbay/internal/problem"
)

// maxShardBytes limits the encoded size of a shard when jobs are added. The
// margin to the platform's limit of a value is for later changes of these
// jobs.
const maxShardBytes = 768 << 10

// maxUpdateAttempts limits the attempts of an update whose writes conflict with
// concurrent ones or have an unknown outcome.
const maxUpdateAttempts = 20

// errUnchanged is returned by an update that has nothing to write.
var errUnchanged = errors.New("unchanged")

// Store reads and writes shards. Errors are *problem.Error. Kind Conflict means
// that another change came first; after Interrupted or Timeout the outcome of a
// write is unknown until a later read.
type Store struct {
	store platform.Store
}

// New returns a store of jobs over the platform's store.
func New(store platform.Store) *Store { return &Store{store: store} }

// Load reads a shard. One that is not stored yet is returned empty, with
// version 0.
func (s *Store) Load(ctx context.Context, index int) (Shard, error) {
	kv, err := s.store.Get(ctx, key(index))
	if problem.Is(err, problem.NotFound) {
		return Shard{Index: index}, nil
	}
	if err != nil {
		return Shard{}, err
	}
	return decode(index, kv)
}

// LoadAll reads all stored shards at one revision of the store.
func (s *Store) LoadAll(ctx context.Context) ([]Shard, error) {
	listing, err := s.store.List(ctx, Prefix)
	if err != nil {
		return nil, err
	}
	return Decode(listing)
}

// Save writes shard if the stored version is still shard.Version, and returns the
// new version.
func (s *Store) Save(ctx context.Context, shard Shard) (uint64, error) {
	encoded, err := json.Marshal(shard)
	if err != nil {
		return 0, problem.Wrap(problem.Internal, problem.StepStoreWrite, key(shard.Index), err)
	}
	return s.store.Put(ctx, key(shard.Index), encoded, platform.IfVersion(shard.Version), "")
}

// Update reads a shard, applies change and writes the result, and repeats all
// three on conflict or when the outcome of the write is unknown, up to
// maxUpdateAttempts times in all. change must therefore be idempotent; it returns
// false when there is nothing to change.
// Adding jobs to a full shard is an error of kind Overloaded.
func (s *Store) Update(ctx context.Context, index int, change func(Shard) (Shard, bool, error)) error {
	var err error
	for range maxUpdateAttempts {
		if err = s.update(ctx, index, change); !retryable(err) {
			break
		}
	}
	if errors.Is(err, errUnchanged) {
		return nil
	}
	return err
}

func (s *Store) update(ctx context.Context, index int, change func(Shard) (Shard, bool, error)) error {
	old, err := s.Load(ctx, index)
	if err != nil {
		return err
	}
	shard, changed, err := change(old)
	if err != nil {
		return err
	}
	if !changed {
		return errUnchanged
	}
	if len(shard.Jobs) > len(old.Jobs) {
		if err := checkSize(shard); err != nil {
			return err
		}
	}
	_, err = s.Save(ctx, shard)
	return err
}

// checkSize returns an error of kind Overloaded when the encoded shard exceeds
// maxShardBytes.
func checkSize(shard Shard) error {
	encoded, err := json.Marshal(shard)
	if err != nil {
		return problem.Wrap(problem.Internal, problem.StepPlace, key(shard.Index), err)
	}
	if len(encoded) > maxShardBytes {
		return problem.New(problem.Overloaded, problem.StepPlace, key(shard.Index),
			fmt.Sprintf("the jobs of this shard would take more than %d bytes; wait until some have ended, or cancel some", maxShardBytes))
	}
	return nil
}

// retryable reports whether an update is to be repeated after err: its write
// conflicted, or the outcome of its write is unknown. Errors of any other step,
// such as a Conflict that the change returned, are final.
func retryable(err error) bool {
	var p *problem.Error
	if !errors.As(err, &p) || p.Step != problem.StepStoreWrite {
		return false
	}
	return p.Kind == problem.Conflict || p.Kind == problem.Interrupted || p.Kind == problem.Timeout
}

// Decode returns the shards of a listing. It skips keys that are not those of
// shards.
func Decode(listing api.Listing) ([]Shard, error) {
	var shards []Shard
	for _, kv := range listing.Items {
		index, ok := shardOfKey(kv.Key)
		if !ok {
			continue
		}
		shard, err := decode(index, kv)
		if err != nil {
			return nil, err
		}
		shards = append(shards, shard)
	}
	return shards, nil
}

// DecodeEvent returns the shard that a change of the store wrote, and false when
// it wrote none or the shard cannot be decoded.
func DecodeEvent(event api.Event) (Shard, bool, error) {
	index, ok := shardOfKey(event.Key)
	if !ok || event.Type != api.EventPut {
		return Shard{}, false, nil
	}
	shard, err := decode(index, api.KeyValue{Key: event.Key, Value: event.Value, Version: event.Version})
	return shard, err == nil, err
}

func decode(index int, kv api.KeyValue) (Shard, error) {
	var shard Shard
	if err := json.Unmarshal(kv.Value, &shard); err != nil {
		return Shard{}, problem.Wrap(problem.Internal, problem.StepStoreRead, kv.Key, err)
	}
	shard.Index, shard.Version = index, kv.Version
	return shard, nil
}
