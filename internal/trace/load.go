package trace

import (
	"os"
	"path/filepath"
	"strings"

	"persimmonbay/internal/problem"
	"persimmonbay/internal/yamlfile"
)

// outcomesSuffix replaces .yaml in the name of a trace's file to give the name of
// the file with its outcomes.
const outcomesSuffix = ".outcomes.yaml"

// Load reads and parses the trace in file, the file of outcomes next to it and
// the questionnaire that it names. The error is a problem.NotFound when a file
// cannot be read, and of type problem.Findings when one is invalid.
func Load(file string) (*Trace, error) {
	data, err := read(file)
	if err != nil {
		return nil, err
	}
	t, err := Parse(file, data)
	if err != nil {
		return nil, err
	}
	if err := decode(strings.TrimSuffix(file, ".yaml")+outcomesSuffix, &t.Outcomes); err != nil {
		return nil, err
	}
	return t, decode(filepath.Join(filepath.Dir(file), t.Answers), &t.Questionnaire)
}

// Parse parses data, the content of file, as a trace without its outcomes and its
// questionnaire. An error is of type problem.Findings.
func Parse(file string, data []byte) (*Trace, error) {
	t := &Trace{}
	_, err := yamlfile.Decode(file, data, t)
	return t, err
}

func decode(file string, target any) error {
	data, err := read(file)
	if err != nil {
		return err
	}
	_, err = yamlfile.Decode(file, data, target)
	return err
}

func read(file string) ([]byte, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, problem.Wrap(problem.NotFound, problem.StepParse, "", err)
	}
	return data, nil
}
