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

// FuzzConfiguration checks that a document is refused with findings, or that
// the configuration parsed from it can be rendered and parsed again with the
// same teams, pools and number of services.
func FuzzConfiguration(f *testing.F) {
	addExamples(f, "configuration.yaml")
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := configfile.ParseConfiguration("fleet.yaml", data)
		if err != nil {
			requireFindings(t, err)
			return
		}
		rendered, err := configfile.Render(c)
		if err != nil {
			t.Fatal(err)
		}
		again, err := configfile.ParseConfiguration("fleet.yaml", rendered)
		if err != nil {
			t.Fatalf("rendered configuration refused: %v in\n%s", err, rendered)
		}
		if len(again.Services) != len(c.Services) || !reflect.DeepEqual(again.Teams, c.Teams) || !reflect.DeepEqual(again.Pools, c.Pools) {
			t.Fatalf("configuration changed when rendered and parsed: %+v became %+v", c, again)
		}
	})
}

// FuzzQuestionnaire checks that a document is refused with findings, or that
// the configuration generated from its answers passes ParseConfiguration.
func FuzzQuestionnaire(f *testing.F) {
	addExamples(f, "answers.yaml")
	f.Fuzz(func(t *testing.T, data []byte) {
		q, err := configfile.ParseQuestionnaire("answers.yaml", data)
		if err != nil {
			requireFindings(t, err)
			return
		}
		rendered, err := configfile.Render(configuration.Generate(q))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := configfile.ParseConfiguration("fleet.yaml", rendered); err != nil {
			t.Fatalf("rendered configuration refused: %v in\n%s", err, rendered)
		}
	})
}

// addExamples adds the example files called name and short malformed documents
// to the corpus.
func addExamples(f *testing.F, name string) {
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

// requireFindings fails t unless err holds findings, each with file, line and
// expectation.
func requireFindings(t *testing.T, err error) {
	var findings problem.Findings
	if !errors.As(err, &findings) || len(findings) == 0 {
		t.Fatalf("error is not a list of findings: %v", err)
	}
	for _, finding := range findings {
		if finding.Line < 1 || finding.File == "" || finding.Expected == "" {
			t.Fatalf("incomplete finding %+v", finding)
		}
	}
}
