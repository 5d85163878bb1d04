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

// maxShardBytes bounds one value when jobs are added. What is noted of them
// later fits between it and what the platform takes.
const maxShardBytes = 768 << 10

// updateAttempts bounds the tries of an update that others keep forestalling.
const updateAttempts = 20

// errUnchanged ends an update that has nothing to write.
var errUnchanged = errors.New("unchanged")

// Store reads and writes shards. Errors are *problem.Error; kind Conflict says
// that another change came first, and after Interrupted or Timeout only a later
// read can tell whether the write took effect.
type Store struct {
	store platform.Store
}

// New returns a store of jobs over the platform's store.
func New(store platform.Store) *Store { return &Store{store: store} }

// Load reads a shard, which may be empty.
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

// LoadAll reads all shards that are stored, at one revision.
func (s *Store) LoadAll(ctx context.Context) ([]Shard, error) {
	listing, err := s.store.List(ctx, Prefix)
	if err != nil {
		return nil, err
	}
	return Decode(listing)
}

// Save replaces the version of the shard that shard was made from, and returns
// the new one.
func (s *Store) Save(ctx context.Context, shard Shard) (uint64, error) {
	encoded, err := json.Marshal(shard)
	if err != nil {
		return 0, problem.Wrap(problem.Internal, problem.StepStoreWrite, key(shard.Index), err)
	}
	return s.store.Put(ctx, key(shard.Index), encoded, platform.IfVersion(shard.Version), "")
}

// Update makes a change of one shard, whoever changes it at the same time.
// change must come to the same end when it is made twice, and returns false
// when there is nothing to change.
func (s *Store) Update(ctx context.Context, index int, change func(Shard) (Shard, bool, error)) error {
	var err error
	for range updateAttempts {
		if err = s.update(ctx, index, change); !again(err) {
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
		if err := bounded(shard); err != nil {
			return err
		}
	}
	_, err = s.Save(ctx, shard)
	return err
}

// bounded refuses jobs beyond what one value may hold.
func bounded(shard Shard) error {
	encoded, err := json.Marshal(shard)
	if err != nil {
		return problem.Wrap(problem.Internal, problem.StepPlace, key(shard.Index), err)
	}
	if len(encoded) > maxShardBytes {
		return problem.New(problem.Overloaded, problem.StepPlace, key(shard.Index),
			fmt.Sprintf("its jobs take more than %d bytes; wait until some have ended, or cancel some", maxShardBytes))
	}
	return nil
}

// again reports whether the change is to be tried again: another write came
// first, or nobody can tell whether this one took effect. Conflicts of the
// change itself are returned.
func again(err error) bool {
	var p *problem.Error
	if !errors.As(err, &p) || p.Step != problem.StepStoreWrite {
		return false
	}
	return p.Kind == problem.Conflict || p.Kind == problem.Interrupted || p.Kind == problem.Timeout
}

// Decode returns the shards of a listing.
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

// DecodeEvent returns the shard that a change of the store wrote, and false
// when it wrote none.
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
