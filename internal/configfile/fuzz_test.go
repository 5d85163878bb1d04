package configfile_test

import (
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"persimmonbay/internal/configfile"
	"persimmonbay/internal/configuration"
	"persimmonbay/internal/problem"
)

// FuzzConfiguration demands that a document is refused with findings or reads
// the same again after it was written.
func FuzzConfiguration(f *testing.F) {
	seed(f, "configuration.yaml")
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := configfile.ParseConfiguration("fleet.yaml", data)
		if err != nil {
			demandFindings(t, err)
			return
		}
		rendered, err := configfile.Render(c)
		if err != nil {
			t.Fatal(err)
		}
		again, err := configfile.ParseConfiguration("fleet.yaml", rendered)
		if err != nil {
			t.Fatalf("%v in\n%s", err, rendered)
		}
		if len(again.Services) != len(c.Services) || !reflect.DeepEqual(again.Teams, c.Teams) || !reflect.DeepEqual(again.Pools, c.Pools) {
			t.Fatalf("%+v became %+v", c, again)
		}
	})
}

// FuzzQuestionnaire demands that answers are refused with findings or give a
// configuration that passes its own checks.
func FuzzQuestionnaire(f *testing.F) {
	seed(f, "answers.yaml")
	f.Fuzz(func(t *testing.T, data []byte) {
		q, err := configfile.ParseQuestionnaire("answers.yaml", data)
		if err != nil {
			demandFindings(t, err)
			return
		}
		rendered, err := configfile.Render(configuration.Generate(q))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := configfile.ParseConfiguration("fleet.yaml", rendered); err != nil {
			t.Fatalf("%v in\n%s", err, rendered)
		}
	})
}

func seed(f *testing.F, name string) {
	for _, user := range []string{"registry", "safety-cell"} {
		data, err := os.ReadFile(filepath.Join(examples, user, name))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	for _, text := range []string{"", "---\n---\n", "a: &a [*a]", "organisation: !!int x", "teams: {", "organisation: \x00", "? [a]: b", "<<: {organisation: x}", "teams:\n  - {name: [1]}"} {
		f.Add([]byte(text))
	}
}

func demandFindings(t *testing.T, err error) {
	var findings problem.Findings
	if !errors.As(err, &findings) || len(findings) == 0 {
		t.Fatalf("no findings: %v", err)
	}
	for _, finding := range findings {
		if finding.Line < 1 || finding.File == "" || finding.Expected == "" {
			t.Fatalf("incomplete finding %+v", finding)
		}
	}
}
