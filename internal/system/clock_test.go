package system

import (
	"go/ast"
	"go/parser"
	"go/token"
	"testing"

	"github.com/stretchr/testify/require"
)

// forbiddenTimeFuncs are the functions of package time that read a clock or wait.
var forbiddenTimeFuncs = map[string]bool{
	"Now": true, "Since": true, "Until": true, "Sleep": true, "After": true,
	"AfterFunc": true, "Tick": true, "NewTimer": true, "NewTicker": true,
}

func checkNoClock(t *testing.T, fset *token.FileSet, path string) {
	f, err := parser.ParseFile(fset, path, nil, 0)
	require.NoError(t, err)
	ast.Inspect(f, func(n ast.Node) bool {
		if g, ok := n.(*ast.GoStmt); ok {
			t.Errorf("%s starts a goroutine", fset.Position(g.Pos()))
		}
		sel, ok := n.(*ast.SelectorExpr)
		if !ok {
			return true
		}
		if id, ok := sel.X.(*ast.Ident); ok && id.Name == "time" && forbiddenTimeFuncs[sel.Sel.Name] {
			t.Errorf("%s calls time.%s", fset.Position(sel.Pos()), sel.Sel.Name)
		}
		return true
	})
}
