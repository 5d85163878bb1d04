package poolmanager

import (
	"maps"

	"persimmonbay/internal/upkeep"
)

// waveView holds the waves by their key. It is never changed, only replaced.
type waveView struct {
	waves map[string]upkeep.Wave
}

func (v waveView) with(key string, w upkeep.Wave) waveView {
	next := waveView{waves: maps.Clone(v.waves)}
	if next.waves == nil {
		next.waves = make(map[string]upkeep.Wave)
	}
	next.waves[key] = w
	return next
}

func (v waveView) without(key string) waveView {
	next := waveView{waves: maps.Clone(v.waves)}
	delete(next.waves, key)
	return next
}
