package load

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	sample "jayloft/examples"
	"jayloft/query"
)

// TestExperiments checks that every experiment of the program can be read and
// is bounded.
func TestExperiments(t *testing.T) {
	entries, err := sample.Files.ReadDir("experiments")
	assert.NilError(t, err)
	assert.Assert(t, len(entries) >= 9)
	for _, e := range entries {
		t.Run(e.Name(), func(t *testing.T) {
			b, err := sample.Files.ReadFile("experiments/" + e.Name())
			assert.NilError(t, err)
			x, err := Parse(e.Name(), b)
			assert.NilError(t, err)
			assert.Assert(t, x.length() <= 30*time.Second)
			assert.Assert(t, len(x.Checks) > 0)
			for _, o := range x.Orders {
				_, err := query.Parse(o.Statement, time.Now())
				assert.NilError(t, err)
			}
			_, err = newPools(x)
			assert.NilError(t, err)
		})
	}
}

func TestParseFindings(t *testing.T) {
	tests := []struct{ text, want string }{
		{"nam = \"x\"\n", "x.toml:1:1: unknown key nam"},
		{"name = 1\n", "x.toml:1:8"},
		{"name = \"a\"\nsite = \"b\"\n", `site is "b"`},
		{"site = \"fichero\"\n", "name is missing"},
		{"[[loads]]\nname = \"a\"\nrate = 1.0\nfor = \"20m\"\n", "the run takes 20m0s; the most is 5m0s"},
		{"[[loads]]\nname = \"a\"\nrate = 1e9\nfor = \"20s\"\n", "the most is 1000000"},
		{"[[loads]]\nname = \"a\"\nrate = 0.0\nfor = \"20s\"\n", "loads[0]: rate and for"},
		{"[[loads]]\nrate = 1\nfor = \"2 s\"\n", "x.toml:3:7"},
		{"[[jobs]]\nname = \"a\"\ncount = 1000\ntasks = 100\n", "100000 tasks; the most is 10000"},
		{"[[faults]]\non = \"entry-1\"\nname = \"slow\"\n", "an entry has the fault kill only"},
		{"[[phases]]\nname = \"a\"\nfrom = \"2s\"\nto = \"1s\"\n", "to after from"},
		{"[[checks]]\nmeasure = \"speed\"\nmax = 1\n", `unknown measure "speed"`},
		{"[[checks]]\nmeasure = \"p50\"\n", "want min or max"},
		{"[[checks]]\nmeasure = \"p50\"\nmax = 1\nover = {phase = \"x\"}\n", `there is no phase "x"`},
	}
	for _, tc := range tests {
		_, err := Parse("x.toml", []byte(tc.text))
		assert.Assert(t, err != nil, tc.text)
		assert.Assert(t, strings.Contains(err.Error(), tc.want), "%s\nlacks %s", err, tc.want)
	}
}

// TestAim checks where load may be aimed.
func TestAim(t *testing.T) {
	loopback, other := netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("192.0.2.1:80")
	tests := []struct {
		text    string
		callers netip.AddrPort
		want    string
	}{
		{"", other, "not on loopback"},
		{"[[faults]]\non = \"w1\"\nname = \"slow\"\n", loopback, "has faults"},
		{"[[loads]]\nname = \"a\"\nservice = \"lookup\"\nrate = 1\nfor = \"1s\"\ndirect = true\n", loopback, "straight to the endpoints"},
		{"[[orders]]\nstatement = \"show dcs\"\n", loopback, "need the address of an entry's RPC"},
	}
	for _, tc := range tests {
		x, err := Parse("x.toml", []byte("name = \"x\"\nsite = \"fichero\"\n"+tc.text))
		assert.NilError(t, err)
		_, err = Run(t.Context(), x, WithEntries([]netip.AddrPort{tc.callers}, nil))
		assert.ErrorContains(t, err, tc.want)
	}
}

func TestPolicy(t *testing.T) {
	for _, p := range policies {
		opts, err := Policy(p.name)
		assert.NilError(t, err)
		assert.Equal(t, len(opts), 1)
	}
	_, err := Policy("fastest")
	assert.ErrorContains(t, err, "there is no policy")
}
