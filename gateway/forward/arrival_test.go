package forward

import (
	"context"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"net"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/gateway/upstream"
)

// TestSendNeedsUnusedPass: nothing is sent without a pass, or with one that was used.
func TestSendNeedsUnusedPass(t *testing.T) {
	for name, pass := range map[string]*arrivalPass{"none": nil, "used": {used: true}} {
		t.Run(name, func(t *testing.T) {
			pool := upstream.NewPool(func(context.Context, string, string) (net.Conn, error) {
				near, _ := net.Pipe()
				return near, nil
			})
			conn, err := pool.Dial(context.Background(), upstream.Target{ID: "e", Address: "10.0.0.1:80"})
			assert.NilError(t, err)
			_, err = sendAdmitted(context.Background(), pass, conn, &upstream.Request{}, anyAnswer)
			assert.Assert(t, errorx.IsOfType(err, upstream.ErrNotSent), "%v", err)
		})
	}
}

// sends are the functions that send on a connection to an endpoint or helper. Those of management calls send no
// requests of callers.
var sends = []string{"forward.sendAdmitted", "forward.callEngine"}

// passes are the functions that create passes.
var passes = []string{"forward.admitArrival"}

// TestEachSendIsAdmitted guards against a way to send requests that the bound on retries does not count: it finds each
// call of upstream.Conn.Do, and each pass that is made.
func TestEachSendIsAdmitted(t *testing.T) {
	var sending, passing []string
	err := filepath.WalkDir("..", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil || !importsUpstream(file) {
			return err
		}
		for _, d := range file.Decls {
			f, ok := d.(*ast.FuncDecl)
			if !ok {
				continue
			}
			name := file.Name.Name + "." + f.Name.Name
			ast.Inspect(f, func(n ast.Node) bool {
				switch n := n.(type) {
				case *ast.SelectorExpr:
					if n.Sel.Name == "Do" && !isOnce(n.X) {
						sending = append(sending, name)
					}
				case *ast.CompositeLit:
					if id, ok := n.Type.(*ast.Ident); ok && id.Name == "arrivalPass" {
						passing = append(passing, name)
					}
				}
				return true
			})
		}
		return nil
	})
	assert.NilError(t, err)
	assert.DeepEqual(t, sending, sends)
	assert.DeepEqual(t, passing, passes)
}

func importsUpstream(f *ast.File) bool {
	for _, i := range f.Imports {
		if path, err := strconv.Unquote(i.Path.Value); err == nil && strings.HasSuffix(path, "/gateway/upstream") {
			return true
		}
	}
	return false
}

// isOnce reports whether an expression is a field for something done once.
func isOnce(x ast.Expr) bool {
	s, ok := x.(*ast.SelectorExpr)
	return ok && strings.HasSuffix(s.Sel.Name, "Once")
}
