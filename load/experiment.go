package load

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"jayloft/config"
)

// Bounds on every experiment.
const (
	MaxLength   = 5 * time.Minute
	MaxRequests = 1_000_000
	MaxTasks    = 10_000
)

// Duration is a time in settings and reports, written as in "1.5s".
type Duration time.Duration

// D returns the duration itself.
func (d Duration) D() time.Duration { return time.Duration(d) }

// UnmarshalText reads a duration.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	*d = Duration(v)
	return err
}

// MarshalText writes the duration.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.D().String()), nil }

// Experiment says what is run and what has to hold. All times count from the
// start of the run.
type Experiment struct {
	Name    string
	About   string
	Site    string // fichero or mwakalinga
	Seed    uint64
	Entries int      // of the site; all if zero
	Workers int      // of the site; all if zero
	Slots   int      // of each worker; as in the site's settings if zero
	Settle  Duration // to wait for jobs after the last phase
	Setup   []string // statements before the start, after the site's own
	Loads   []Load
	Jobs    []Jobs
	Faults  []Fault
	Orders  []Order
	Phases  []Phase
	Checks  []Check
}

// Load is requests of one service.
type Load struct {
	Name    string
	Service string
	From    Duration
	For     Duration
	Rate    float64  // arrivals a second, exponentially spaced
	Timeout Duration // the deadline, from the sending on
	Callers int      // programs with connections of their own
	Team    string
	Direct  bool // straight to the endpoints, past jayloft
	Once    bool // not idempotent, whatever the service says
}

// Jobs is a wave of like jobs.
type Jobs struct {
	Name   string
	At     Duration
	Count  int
	Tasks  int // of each
	Team   string
	Class  string
	Input  string
	Cores  int
	Memory string
	Urgent bool
	Every  Duration // between two of them
}

// Fault is switched on at a time, and off after Last if that isn't zero.
type Fault struct {
	At    Duration
	Last  Duration
	On    string // platform, a worker, or entry-N
	Name  string // as of package stand; an entry has kill only
	Value float64
}

// Order is a statement that is run at a time.
type Order struct {
	At        Duration
	Statement string
}

// Phase is a named part of the run that is measured on its own.
type Phase struct {
	Name string
	From Duration
	To   Duration
}

// Read reads an experiment from a file. Its error holds all findings.
func Read(path string) (Experiment, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return Experiment{}, fmt.Errorf("experiment: %w", err)
	}
	return Parse(path, b)
}

// Parse reads an experiment from a file's content.
func Parse(path string, b []byte) (Experiment, error) {
	var x Experiment
	dec := toml.NewDecoder(bytes.NewReader(b)).DisallowUnknownFields()
	var found config.Findings
	if err := dec.Decode(&x); err != nil {
		found = decodeFindings(err)
	} else {
		x.defaults()
		found = x.findings()
	}
	return x, found.WithFile(path).Err()
}

// decodeFindings returns what the decoder found, with places.
func decodeFindings(err error) config.Findings {
	var strict *toml.StrictMissingError
	var one *toml.DecodeError
	switch {
	case errors.As(err, &strict):
		var found config.Findings
		for _, e := range strict.Errors {
			line, column := e.Position()
			found = append(found, config.Finding{Line: line, Column: column, Text: "unknown key " + strings.Join(e.Key(), ".")})
		}
		return found
	case errors.As(err, &one):
		line, column := one.Position()
		return config.Findings{{Line: line, Column: column, Text: one.Error()}}
	}
	return config.Findings{{Line: 1, Column: 1, Text: err.Error()}}
}

func (x *Experiment) defaults() {
	if x.Seed == 0 {
		x.Seed = 1
	}
	for i := range x.Loads {
		l := &x.Loads[i]
		if l.Callers == 0 {
			l.Callers = 4
		}
		if l.Timeout == 0 {
			l.Timeout = Duration(time.Second)
		}
	}
	for i := range x.Jobs {
		j := &x.Jobs[i]
		j.Tasks, j.Count, j.Cores = max(j.Tasks, 1), max(j.Count, 1), max(j.Cores, 1)
		if j.Memory == "" {
			j.Memory = "1GB"
		}
	}
}

func (x *Experiment) tasks() int {
	n := 0
	for _, j := range x.Jobs {
		n += j.Tasks * j.Count
	}
	return n
}

// length returns the time from the start to the end of the last part.
func (x *Experiment) length() time.Duration {
	var end Duration
	for _, l := range x.Loads {
		end = max(end, l.From+l.For)
	}
	for _, p := range x.Phases {
		end = max(end, p.To)
	}
	for _, f := range x.Faults {
		end = max(end, f.At+f.Last)
	}
	for _, j := range x.Jobs {
		end = max(end, j.At+Duration(j.Count-1)*j.Every)
	}
	for _, o := range x.Orders {
		end = max(end, o.At)
	}
	return end.D()
}

// limit bounds the whole run.
func (x *Experiment) limit() time.Duration { return x.length() + x.Settle.D() + prepareTime }

// needsSite names a part that can't be run against entries that run already.
func (x *Experiment) needsSite() string {
	switch {
	case len(x.Faults) > 0:
		return "faults"
	case slices.ContainsFunc(x.Loads, func(l Load) bool { return l.Direct }):
		return "a load straight to the endpoints"
	}
	return ""
}

func (x *Experiment) needsOperator() bool { return len(x.Jobs)+len(x.Orders) > 0 }
