package sweep

import (
	"fmt"
	"time"

	"jayloft/core"
	"jayloft/stand"
)

// Site is a deployment: its VMs, its service and its batch class.
type Site struct {
	Name     string
	DCs      []int // workers in each data centre
	Capacity core.Size
	Slots    int
	Service  string
	Timeout  time.Duration // of the service
	Mean     time.Duration // of the service on an idle VM
	Spread   float64       // see stand.Service
	Reserved core.Size     // by the service on each VM
	Class    string        // the batch class that disturbs the service
	Noise    float64       // see stand.Service
	Excess   float64       // what a task uses of processors over what it declares
}

// Deployments of the users.
var (
	Fichero = Site{
		Name: "fichero", DCs: []int{4, 4, 3},
		Capacity: core.Size{Millicores: 16_000, MemoryMB: 60_000}, Slots: 8,
		Service: "lookup", Timeout: time.Second, Mean: 20 * time.Millisecond, Spread: 0.5,
		Reserved: core.Size{Millicores: 4000, MemoryMB: 8000},
		Class:    "import", Noise: 1.2, Excess: 1.5,
	}
	Mwakalinga = Site{
		Name: "mwakalinga", DCs: []int{3, 3, 3, 2},
		Capacity: core.Size{Millicores: 32_000, MemoryMB: 125_000}, Slots: 8,
		Service: "proof", Timeout: 2 * time.Second, Mean: 60 * time.Millisecond, Spread: 0.3,
		Reserved: core.Size{Millicores: 8000, MemoryMB: 16_000},
		Class:    "cutplan", Noise: 1.5, Excess: 1,
	}
)

// Workers returns the number of workers.
func (s Site) Workers() int {
	n := 0
	for _, w := range s.DCs {
		n += w
	}
	return n
}

// Rate returns the requests a second that all slots can run.
func (s Site) Rate() float64 { return float64(s.Workers()*s.Slots) / s.Mean.Seconds() }

// quietClass is a batch class that disturbs no service and uses what it
// declares.
const quietClass = "quiet"

func (s Site) options(j *stand.Journal) []stand.Option {
	work := func(input string) time.Duration {
		d, err := time.ParseDuration(input)
		if err != nil {
			panic(err) // inputs are made by this package
		}
		return d
	}
	return []stand.Option{
		stand.WithJournal(j),
		stand.WithService(s.Service, stand.Service{
			Time: s.Mean, Spread: s.Spread, Noise: map[string]float64{s.Class: s.Noise},
		}),
		stand.WithClass(quietClass, stand.Class{Work: work}),
		stand.WithClass(s.Class, stand.Class{
			Work: work,
			Used: func(_ string, declared core.Size) core.Size {
				declared.Millicores = int64(float64(declared.Millicores) * s.Excess)
				return declared
			},
		}),
	}
}

func (s Site) rows() map[string]core.Record {
	rows := map[string]core.Record{
		core.KeyVersion:                    core.VersionRow{N: 1},
		core.PrefixConfig + "team/callers": core.TeamRow{Name: "callers", Weight: 4},
		core.PrefixConfig + "team/batch":   core.TeamRow{Name: "batch"},
		core.PrefixConfig + "service/" + s.Service: core.ServiceRow{
			Name: s.Service, Team: "callers", Idempotent: true, Timeout: s.Timeout, Size: s.Reserved,
		},
	}
	for i := range s.DCs {
		rows[core.PrefixConfig+"dc/"+string(dcName(i))] = core.DCRow{Name: dcName(i)}
	}
	return rows
}

func dcName(i int) core.DC { return core.DC(fmt.Sprintf("dc%d", i+1)) }
