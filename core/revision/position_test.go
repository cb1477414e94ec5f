package revision

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestNewerEraIsLater: after the store has returned from an older copy, its revisions are lower than
// before, and some are given out again.
func TestNewerEraIsLater(t *testing.T) {
	ordered := []Position{{}, {Revision: 7}, {Era: 1, Revision: 1}, {Era: 1, Revision: 60}, {Era: 2, Revision: 44}, {Era: 2, Revision: 60}}
	for i, a := range ordered {
		for j, b := range ordered {
			assert.Equal(t, a.After(b), i > j, "%v, %v", a, b)
			assert.Equal(t, a.Compare(b) == 0, i == j)
			assert.Equal(t, Latest(a, b), ordered[max(i, j)])
		}
	}
}
