package system

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// allowedImports are the packages that decision code may import. Everything else,
// in particular transport, codecs, logging and networking, belongs to the traffic
// side.
var allowedImports = []string{
	"cmp", "errors", "fmt", "maps", "math", "math/bits", "math/rand/v2", "slices", "sort", "strconv", "strings", "time",
	"container/list", "container/heap", "crypto/subtle",
	"github.com/cespare/xxhash/v2", "github.com/pkg/errors",
}

const modulePrefix = "laburnumroad.dev/laburnumroad/internal/"

// Guards against decisions that depend on transport, encoding, logging or the wall
// clock: tests could not run them with injected time and events.
func TestDecisionsImportNoTransport(t *testing.T) {
	for _, dir := range []string{".", "../table", "../event", "../command", "../world"} {
		require.NoError(t, filepath.WalkDir(dir, func(path string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			checkFile(t, path)
			return nil
		}))
	}
}

func checkFile(t *testing.T, path string) {
	fset := token.NewFileSet()
	f, err := parser.ParseFile(fset, path, nil, 0)
	require.NoError(t, err)
	for _, imp := range f.Imports {
		name, err := strconv.Unquote(imp.Path.Value)
		require.NoError(t, err)
		require.True(t, isAllowed(name), "%s imports %s", path, name)
	}
	checkNoClock(t, fset, path)
}

func isAllowed(name string) bool {
	for _, a := range allowedImports {
		if name == a {
			return true
		}
	}
	internalPath, ok := strings.CutPrefix(name, modulePrefix)
	if !ok {
		return false
	}
	switch strings.Split(internalPath, "/")[0] {
	case "table", "event", "command", "world", "system":
		return true
	}
	return false
}
