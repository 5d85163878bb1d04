package bench

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"persimmonbay/internal/configfile"
	"persimmonbay/internal/configstore"
	"persimmonbay/internal/configuration"
	standinplatform "persimmonbay/internal/standin/platform"
)

// BenchmarkConfigurationSize prints the cost of configurations of growing size:
// bytes of the document, time to parse and check it, memory of the parsed
// configuration, and time to apply it to a store in this process.
func BenchmarkConfigurationSize(b *testing.B) {
	for range b.N {
		fmt.Printf("%8s %8s %12s %14s %12s %12s\n", "pools", "teams", "bytes", "parse+check", "held KB", "apply")
		for _, size := range []struct{ pools, teams int }{{50, 60}, {251, 300}, {500, 600}} {
			measureConfigurationSize(b, size.pools, size.teams)
		}
	}
}

func measureConfigurationSize(b *testing.B, pools, teams int) {
	source := largeDocument(b, pools, teams)
	began := time.Now()
	const reads = 5
	for range reads {
		if _, err := configfile.ParseConfiguration("fleet.yaml", source); err != nil {
			b.Fatal(err)
		}
	}
	parse := time.Since(began) / reads
	var before, after runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&before)
	parsed, _ := configfile.ParseConfiguration("fleet.yaml", source)
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(parsed)
	clock := clockwork.NewRealClock()
	began = time.Now()
	if _, err := configstore.New(standinplatform.NewStore(clock), clock).Apply(context.Background(), "bench", 0, source); err != nil {
		b.Fatal(err)
	}
	fmt.Printf("%8d %8d %12d %14v %12.0f %12v\n", pools, teams, len(source), parse.Round(time.Microsecond),
		(float64(after.HeapAlloc)-float64(before.HeapAlloc))/1024, time.Since(began).Round(time.Microsecond))
}

// largeDocument renders a configuration of the given size. Each pool except the
// spare pool serves one service.
func largeDocument(b *testing.B, pools, teams int) []byte {
	q := &configuration.Questionnaire{Organisation: "bench"}
	for i := range teams {
		q.Teams = append(q.Teams, configuration.TeamAnswers{Name: fmt.Sprintf("team-%d", i), LateMeans: "harm", People: 10 + i})
	}
	for i := range pools - 1 {
		name := fmt.Sprintf("service-%d", i)
		q.Services = append(q.Services, configuration.ServiceAnswers{Name: name, Runners: 8, MayBeAway: 1, AtOncePerRunner: 8,
			Connections: 64, AnswerWithin: 5 * time.Second, MustNotRepeat: []string{"/" + name}})
	}
	source, err := configfile.Render(configuration.Generate(q))
	if err != nil {
		b.Fatal(err)
	}
	return source
}
