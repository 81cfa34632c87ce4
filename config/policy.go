package config

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2/unstable"

	"jayloft/core"
	"jayloft/internal/unit"
)

// Unit is the unit of a policy parameter.
type Unit string

// The units of policy parameters.
const (
	Seconds   Unit = "seconds" // written as a duration: "15s"
	Ratio     Unit = "share"   // a fraction or multiple
	Count     Unit = "count"   // an integer
	PerSecond Unit = "per second"
)

// Param is a policy parameter that operators may change, in the settings or, if
// core.PolicyNames has it, by the statement set.
type Param struct {
	Name     string
	Unit     Unit
	Min, Max float64                // inclusive bounds, in Unit
	field    func(*core.Policy) any // returns a *time.Duration, *float64 or *int
}

// Params returns all policy parameters.
func Params() []Param {
	const ms, minute, hour = 0.001, 60, 3600
	return []Param{
		{"permit", Seconds, 100 * ms, 30, func(p *core.Policy) any { return &p.Permit }},
		{"lease", Seconds, 1, 10 * minute, func(p *core.Policy) any { return &p.Lease }},
		{"drift", Seconds, 0, 10, func(p *core.Policy) any { return &p.Drift }},
		{"beat", Seconds, 50 * ms, 10, func(p *core.Policy) any { return &p.HeartbeatInterval }},
		{"inspect", Seconds, 50 * ms, 10, func(p *core.Policy) any { return &p.InspectInterval }},
		{"read", Seconds, 50 * ms, 5, func(p *core.Policy) any { return &p.ReadInterval }},
		{"wait", Seconds, 0, 2, func(p *core.Policy) any { return &p.InspectWait }},
		{"shards", Seconds, 0, minute, func(p *core.Policy) any { return &p.ShardReadInterval }},
		{"silent", Seconds, 100 * ms, minute, func(p *core.Policy) any { return &p.Silent }},
		{"suspect", Seconds, 200 * ms, 10 * minute, func(p *core.Policy) any { return &p.Suspect }},
		{"visible", Seconds, 100 * ms, minute, func(p *core.Policy) any { return &p.Visible }},
		{"dead", Seconds, 1, 10 * minute, func(p *core.Policy) any { return &p.EntryTimeout }},
		{"homes", Count, 1, core.EveryEntry, func(p *core.Policy) any { return &p.Homes }},
		{"fence", Seconds, 1 * ms, minute, func(p *core.Policy) any { return &p.FenceInterval }},
		{"settle", Seconds, 100 * ms, minute, func(p *core.Policy) any { return &p.SettleAfter }},
		{"checkpoint", Seconds, 100 * ms, hour, func(p *core.Policy) any { return &p.CheckpointInterval }},
		{"checkpoints", PerSecond, 1, 100_000, func(p *core.Policy) any { return &p.CheckpointsPerSecond }},
		{"keep", Seconds, minute, 720 * hour, func(p *core.Policy) any { return &p.Retention }},
		{"queue", Ratio, 0, 64, func(p *core.Policy) any { return &p.QueuePerSlot }},
		{"retries", Ratio, 0, 1, func(p *core.Policy) any { return &p.RetryShare }},
		{"hedges", Ratio, 0, 1, func(p *core.Policy) any { return &p.HedgeShare }},
		{"quantile", Ratio, 0.5, 0.9999, func(p *core.Policy) any { return &p.HedgeQuantile }},
		{"parking", Count, 1, 100, func(p *core.Policy) any { return &p.ParkFailures }},
		{"writes", PerSecond, 1, 10_000, func(p *core.Policy) any { return &p.WritesPerSecond }},
		{"reads", PerSecond, 1, 100_000, func(p *core.Policy) any { return &p.ReadsPerSecond }},
		{"rows", Count, 1, 1000, func(p *core.Policy) any { return &p.TxnRows }},
		{"clauses", Count, 10, 10_000, func(p *core.Policy) any { return &p.TxnEntries }},
		{"kilobytes", Count, 64, 65_536, func(p *core.Policy) any { return &p.TxnKilobytes }},
		{"bytes", Count, 1024, 1e9, func(p *core.Policy) any { return &p.RowBytes }},
		{"ramp", Seconds, 0, 10 * minute, func(p *core.Policy) any { return &p.RampUpTime }},
	}
}

// FindParam returns the policy parameter with the given name.
func FindParam(name string) (Param, bool) {
	for _, n := range Params() {
		if n.Name == name {
			return n, true
		}
	}
	return Param{}, false
}

// Parse parses a value, which is a duration if the unit is Seconds and a number
// otherwise. The result is in n.Unit. Parse returns an error if the syntax is
// wrong or the value is not between n.Min and n.Max.
func (n Param) Parse(s string) (float64, error) {
	v, err := n.parse(s)
	if err != nil {
		return 0, err
	}
	if !(v >= n.Min && v <= n.Max) {
		return 0, fmt.Errorf("%s is not between %s and %s", s, n.Format(n.Min), n.Format(n.Max))
	}
	return v, nil
}

func (n Param) parse(s string) (float64, error) {
	if n.Unit == Seconds {
		d, err := unit.Duration(s)
		return d.Seconds(), err
	}
	v, err := strconv.ParseFloat(s, 64)
	if err != nil {
		return 0, fmt.Errorf("%q is not a number", s)
	}
	if n.Unit == Count && v != math.Trunc(v) {
		return 0, fmt.Errorf("%s is not an integer", s)
	}
	return v, nil
}

// Format returns v in the syntax that Parse accepts.
func (n Param) Format(v float64) string {
	if n.Unit == Seconds {
		return unit.FormatDuration(seconds(v))
	}
	return strconv.FormatFloat(v, 'g', -1, 64)
}

// Value returns the parameter's value in p, in n.Unit.
func (n Param) Value(p core.Policy) float64 {
	switch f := n.field(&p).(type) {
	case *time.Duration:
		return f.Seconds()
	case *int:
		return float64(*f)
	case *float64:
		return *f
	}
	return 0
}

// Apply sets the parameter in p to v, which is in n.Unit.
func (n Param) Apply(p *core.Policy, v float64) {
	switch f := n.field(p).(type) {
	case *time.Duration:
		*f = seconds(v)
	case *int:
		*f = int(v)
	case *float64:
		*f = v
	}
}

func seconds(v float64) time.Duration {
	return time.Duration(math.Round(v * float64(time.Second)))
}

// param returns a setter that stores the value of n in p.
func param(p *core.Policy, n Param) setter {
	return func(r *reader, v *node) {
		if !r.checkParamKind(v, n) {
			return
		}
		f, err := n.Parse(strings.ReplaceAll(v.text, "_", ""))
		if err != nil {
			r.report(v.offset, err.Error())
			return
		}
		n.Apply(p, f)
	}
}

// checkParamKind reports whether the kind of v suits the unit of n, and records a
// finding if not.
func (r *reader) checkParamKind(v *node, n Param) bool {
	example := n.Format(n.Value(core.DefaultPolicy()))
	if n.Unit == Seconds {
		return r.checkKind(v, unstable.String, quote(example))
	}
	if v.kind == unstable.Integer || v.kind == unstable.Float {
		return true
	}
	r.reportf(v.offset, "want a number such as %s, not %s", example, kindName(v.kind))
	return false
}

// ordering is a constraint on two policy parameters: low must be less than high.
type ordering struct{ low, high string }

// orderings are the constraints that a policy must satisfy. Otherwise healthy
// workers would be classified as silent, or every start order rejected as stale.
var orderings = []ordering{
	{"beat", "silent"},
	{"beat", "permit"},
	{"read", "permit"},
	{"silent", "suspect"},
	{"permit", "lease"},
	{"beat", "lease"},
}

// policy reads [policy] into p and checks the orderings and the age of counts.
func (r *reader) policy(t *node, p *core.Policy) {
	var fs []field
	for _, n := range Params() {
		fs = append(fs, field{n.Name, false, param(p, n)})
	}
	before := len(r.findings)
	r.readTable(t, "[policy]", fs...)
	if len(r.findings) > before {
		return
	}
	for _, o := range orderings {
		low, _ := FindParam(o.low)
		high, _ := FindParam(o.high)
		a, b := low.Value(*p), high.Value(*p)
		if a < b {
			continue
		}
		at := t.get(o.low)
		if at == nil {
			at = t.get(o.high)
		}
		r.reportf(at.offset, "%s (%s) must be less than %s (%s)", o.low, low.Format(a), o.high, high.Format(b))
	}
	r.checkCountAge(t, *p)
	r.checkHomes(t)
}

// checkHomes requires that homes are bounded only where entries take jobs alone: an entry
// that is no home hears no agents, so it could not send requests to endpoints.
func (r *reader) checkHomes(t *node) {
	at := t.get("homes")
	if at != nil && r.root.get("platform") == nil {
		r.report(at.offset, "homes needs [platform]: without it, each entry sends requests to endpoints and has to hear all agents")
	}
}

// checkCountAge requires that counts of waiting jobs stay well below the age at which they
// are refused, as long as no read or write is late.
func (r *reader) checkCountAge(t *node, p core.Policy) {
	usual, most := p.UsualCountAge(), p.MaxCountAge()
	if usual <= most*3/4 {
		return
	}
	for _, name := range []string{"shards", "visible", "dead", "read"} {
		if at := t.get(name); at != nil {
			r.reportf(at.offset, "shards, a third of dead, and read take %s together; with visible (%s) they must not exceed %s",
				unit.FormatDuration(usual), unit.FormatDuration(p.Visible), unit.FormatDuration(most*3/4))
			return
		}
	}
}
