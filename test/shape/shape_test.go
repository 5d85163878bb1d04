// Package shape checks the rules for the layout of the source tree: one type per
// file, and decisions without encodings or transports.
package shape

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// root is the top of the repository.
const root = "../.."

// decisionPackages are the packages below internal that make decisions. They
// import no encoding and no transport, so that another front end can use them.
var decisionPackages = []string{
	"admission", "configuration", "dispatch", "fleet", "inventory", "ledger", "maintenance", "membership",
	"lending", "ownership", "placement", "problem", "request", "routing", "shard", "slots", "upkeep", "scheduler", "poolconfig", "identity", "quota", "teams", "answertime", "door", "readbudget", "places", "configreview",
}

// platformNames are paths, headers, fields and keys of the users' platform.
var platformNames = []string{
	"/-/run-start", "/-/run-stop", "/-/hold", "/-/pace", "/-/advise", "/-/kv-", "/-/machine", "X-Expect-Instance", "X-Lease-Holder",
	"X-Fencing-Token", "X-Deadline-Ms", "fencing_token", "clock_ms", "mem_mb", "target_latency_ms", "max_attempts", "admission_check",
	"anti_affinity", "op/config", "op/wave", "status/wave", "servers/", "PERSIMMONBAY_BOOT",
}

// platformMayImport are the internal packages that the adapter in platform may
// import.
var platformMayImport = []string{
	"intake", "poolmanager", "problem", "shard", "store", "telemetry", "upkeep", "scheduler", "poolconfig", "identity", "keycheck", "guard",
}

// forbiddenImports are the encodings and transports, as prefixes of import paths.
var forbiddenImports = []string{
	"encoding/", "net", "google.golang.org/protobuf", "github.com/hashicorp/yamux", "github.com/gorilla/mux",
	"github.com/goccy/go-yaml", "persimmonbay/internal/peer", "persimmonbay/internal/front", "persimmonbay/internal/operator",
	"persimmonbay/internal/platform", "persimmonbay/internal/upstream", "persimmonbay/internal/configfile", "persimmonbay/internal/yamlfile",
}

func TestShape(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "shape")
}

var _ = Describe("the source tree", func() {
	It("declares at most one type per file", func() {
		for _, name := range sources(root) {
			Expect(declaredTypes(name)).To(HaveLen(min(1, len(declaredTypes(name)))), name)
		}
	})

	It("keeps decision packages apart from encodings and transports", func() {
		for _, p := range decisionPackages {
			for _, name := range sources(filepath.Join(root, "internal", p)) {
				for _, path := range imports(name) {
					Expect(forbidden(path)).To(BeFalse(), "%s imports %s", name, path)
				}
			}
		}
	})
})

var _ = Describe("the adapter to the users' platform", func() {
	It("is the only place that uses the platform's names", func() {
		for _, name := range sources(root) {
			if strings.HasPrefix(name, filepath.Join(root, "platform")) || strings.Contains(name, "standin") {
				continue
			}
			text, err := os.ReadFile(name)
			Expect(err).NotTo(HaveOccurred())
			for _, word := range platformNames {
				Expect(string(text)).NotTo(ContainSubstring(`"`+word), name)
			}
		}
	})

	It("imports only what it translates to", func() {
		for _, name := range sources(filepath.Join(root, "platform")) {
			for _, path := range imports(name) {
				if inner, ok := strings.CutPrefix(path, "persimmonbay/internal/"); ok {
					Expect(platformMayImport).To(ContainElement(inner), name)
				}
			}
		}
	})
})

// sources returns the Go files below dir except tests and generated code.
func sources(dir string) []string {
	var names []string
	err := filepath.WalkDir(dir, func(name string, entry fs.DirEntry, err error) error {
		if os.IsNotExist(err) {
			return nil
		}
		if err != nil {
			return err
		}
		if entry.IsDir() && entry.Name() == ".git" {
			return filepath.SkipDir
		}
		if strings.HasSuffix(name, ".go") && !strings.HasSuffix(name, "_test.go") && !strings.HasSuffix(name, ".pb.go") {
			names = append(names, name)
		}
		return nil
	})
	Expect(err).NotTo(HaveOccurred())
	return names
}

func parse(name string) *ast.File {
	file, err := parser.ParseFile(token.NewFileSet(), name, nil, parser.SkipObjectResolution)
	Expect(err).NotTo(HaveOccurred())
	return file
}

// declaredTypes returns the names of the types that a file declares.
func declaredTypes(name string) []string {
	var types []string
	for _, d := range parse(name).Decls {
		if g, ok := d.(*ast.GenDecl); ok && g.Tok == token.TYPE {
			for _, s := range g.Specs {
				types = append(types, s.(*ast.TypeSpec).Name.Name)
			}
		}
	}
	return types
}

// imports returns the import paths of a file.
func imports(name string) []string {
	var paths []string
	for _, i := range parse(name).Imports {
		path, err := strconv.Unquote(i.Path.Value)
		Expect(err).NotTo(HaveOccurred())
		paths = append(paths, path)
	}
	return paths
}

// forbidden reports whether an import path is in forbiddenImports.
func forbidden(path string) bool {
	for _, f := range forbiddenImports {
		if path == f || strings.HasPrefix(path, strings.TrimSuffix(f, "/")+"/") {
			return true
		}
	}
	return false
}
