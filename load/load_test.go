package load

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// small is an experiment that takes two seconds.
const small = `
name = "small"
site = "fichero"
workers = 4
entries = 2
seed = 7
settle = "10s"

[[loads]]
name = "lookup"
service = "lookup"
rate = 100
for = "2s"

[[jobs]]
name = "nap"
count = 2
tasks = 2
team = "partners"
class = "sleep"
input = "500ms"

[[faults]]
at = "1s"
last = "500ms"
on = "w2"
name = "slow"
value = 3

[[phases]]
name = "late"
from = "1s"
to = "2s"

[[checks]]
measure = "wrong"
max = 0

[[checks]]
measure = "success"
min = 0.99

[[checks]]
measure = "unfinished"
max = 0

[[checks]]
measure = "twice"
max = 0

[[checks]]
text = "impossible"
measure = "p50"
phase = "late"
over = {phase = ""}
max = 0.0
`

func TestRun(t *testing.T) {
	x, err := Parse("small.toml", []byte(small))
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	r, err := Run(ctx, x)
	assert.NilError(t, err)
	assert.Equal(t, len(r.Checks), 5)
	for _, v := range r.Checks {
		assert.Equal(t, v.Pass, v.Text != "impossible", "%+v", v)
	}
	assert.Assert(t, !r.Passed())
	assert.Equal(t, r.Tasks, 4)
	assert.Equal(t, len(r.Notes), 2)
	var b bytes.Buffer
	assert.NilError(t, r.WriteText(&b))
	assert.Assert(t, strings.Contains(b.String(), "FAILED impossible"), b.String())
	assert.NilError(t, r.WriteJSON(&b))
	assert.NilError(t, r.Plot(t.TempDir()+"/small.png"))
}
