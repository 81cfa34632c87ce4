package sweep

import (
	"fmt"
	"time"

	"jayloft/core"
	"jayloft/route"
)

// Variant is a policy to be measured.
type Variant struct {
	Name   string
	Change func(*core.Policy)
}

// The policies that are compared.
var (
	Default    = Variant{"default", func(*core.Policy) {}}
	Random     = Variant{"random", func(p *core.Policy) { p.Route = route.Random }}
	NoRetry    = Variant{"noretry", func(p *core.Policy) { p.RetryShare, p.HedgeShare = 0, 0 }}
	FirstFit   = Variant{"firstfit", func(p *core.Policy) { p.FirstFit = true }}
	NoiseOff   = Variant{"noiseoff", func(p *core.Policy) { p.Noise = core.NoiseOff }}
	NoiseSight = Variant{"noisesight", func(p *core.Policy) { p.Noise = core.NoiseSight }}
	AtOnce     = Variant{"atonce", func(p *core.Policy) { p.DrainAtOnce = true }}
)

// Lease returns the default policy with another lease.
func Lease(d time.Duration) Variant {
	return Variant{fmt.Sprintf("lease=%v", d), func(p *core.Policy) { p.Lease = d }}
}

func (v Variant) policy() core.Policy {
	p := core.DefaultPolicy()
	v.Change(&p)
	return p
}

func (v Variant) sim(site Site, seed uint64) *Sim {
	return New(site, seed, core.WithPolicy(v.policy()))
}

// warm is the time after which a deployment is in its usual state.
const warm = 5 * time.Second

// Figure is one measured number.
type Figure struct {
	Name  string
	Value float64
}

// Figures are what one run measured, in order.
type Figures []Figure

// Get returns a figure by its name.
func (f Figures) Get(name string) float64 {
	for _, x := range f {
		if x.Name == name {
			return x.Value
		}
	}
	panic("sweep: no figure " + name)
}

func (f *Figures) add(name string, v float64) { *f = append(*f, Figure{name, v}) }

func (f *Figures) ms(name string, d time.Duration) { f.add(name, float64(d)/float64(time.Millisecond)) }

func (f *Figures) seconds(name string, d time.Duration) { f.add(name, d.Seconds()) }

// always adds what must hold in every run.
func (f *Figures) always(s *Sim) {
	f.add("overlaps", float64(len(s.Overlaps())))
	f.add("over", float64(s.Over()))
	f.add("retries", s.Requests(0, s.now).Retries)
}

// ratio returns a over b, or 0 if b is none.
func ratio(a, b time.Duration) float64 {
	if b <= 0 {
		return 0
	}
	return float64(a) / float64(b)
}

// Steady measures half load against calls straight to the endpoints.
func Steady(site Site, v Variant, seed uint64) Figures {
	const end = 15 * time.Second
	s := v.sim(site, seed)
	s.Ask(warm/2, end, site.Rate()/2)
	s.Run(end + site.Timeout)
	var f Figures
	r := s.Requests(warm, end)
	f.ms("p50 ms", r.P50)
	f.ms("p99 ms", r.P99)
	f.ms("added p50 ms", r.P50-r.DirectP50)
	f.ms("added p99 ms", r.P99-r.DirectP99)
	f.add("success", r.Success())
	f.always(s)
	return f
}

// Overload measures twice the load that the slots can run.
func Overload(site Site, v Variant, seed uint64) Figures {
	const end = 10 * time.Second
	s := v.sim(site, seed)
	s.Ask(warm/2, end, site.Rate()*2)
	s.Run(end + site.Timeout)
	var f Figures
	r := s.Requests(warm, end)
	f.add("goodput", float64(r.Done)/(site.Rate()*(end-warm).Seconds()))
	f.add("p99/deadline", ratio(r.P99, site.Timeout))
	f.ms("p50 ms", r.P50)
	f.ms("refusal p99 ms", r.RefusalP99)
	f.add("unknown", float64(r.Unknown)/float64(r.Sent))
	f.always(s)
	return f
}

// ill is the worker that faults strike.
const ill = 2

// SlowWorker measures half load while one worker is ten times slower.
func SlowWorker(site Site, v Variant, seed uint64) Figures {
	const from, end = 10 * time.Second, 20 * time.Second
	s := v.sim(site, seed)
	s.Ask(warm/2, end, site.Rate()/2)
	s.Slow(from, ill, 10)
	s.Run(end + site.Timeout)
	var f Figures
	before, after := s.Requests(warm, from), s.Requests(from, end)
	f.ms("p99 before ms", before.P99)
	f.ms("p99 ms", after.P99)
	f.add("p99/steady", ratio(after.P99, before.P99))
	f.add("p99/steady later", ratio(s.Requests(from+3*time.Second, end).P99, before.P99))
	f.add("share later", s.Share(ill, from+3*time.Second, end))
	f.add("success", after.Success())
	f.always(s)
	return f
}

// FailingWorker measures half load while one worker fails everything.
func FailingWorker(site Site, v Variant, seed uint64) Figures {
	const from, end = 10 * time.Second, 20 * time.Second
	s := v.sim(site, seed)
	s.Ask(warm/2, end, site.Rate()/2)
	size := taskOf(site, 8)
	tasks := site.room(size)
	s.Submit(from-time.Second, Job{ID: "batch", Tasks: tasks, Size: size, Work: 3 * time.Second})
	s.Submit(from+time.Second, Job{ID: "later", Tasks: tasks, Size: size, Work: 3 * time.Second})
	s.Fail(from, ill, true)
	s.Run(end + site.Timeout)
	var f Figures
	r := s.Requests(from, end)
	f.add("success", r.Success())
	f.add("share after 5 s", s.Share(ill, from+5*time.Second, end))
	f.ms("p99 ms", r.P99)
	f.add("tasks undone", float64(2*tasks-s.Batch(0, end).Done))
	f.add("tasks failed", float64(s.Count("end "+string(core.EndFailed))))
	f.always(s)
	return f
}

// taskOf returns the size of a task that takes a share of a VM's processors.
func taskOf(site Site, share int64) core.Size {
	return core.Size{Millicores: site.Capacity.Millicores / share, MemoryMB: site.Capacity.MemoryMB / share / 2}
}

// room returns how many tasks of a size all VMs hold beside their service.
func (s Site) room(size core.Size) int {
	return s.Workers() * int((s.Capacity.Millicores-s.Reserved.Millicores)/size.Millicores)
}

// Noisy measures requests beside waves of tasks that disturb them, against the
// same without batch tasks and against two baselines.
func Noisy(site Site, v Variant, seed uint64) Figures {
	const from, end = 10 * time.Second, 110 * time.Second
	run := func(v Variant, waves int) *Sim { return v.waves(site, seed, from, end, waves) }
	s := run(v, 5)
	r, b := s.Requests(from, end), s.Batch(from, end)
	var f Figures
	f.ms("p50 ms", r.P50)
	f.ms("p99 ms", r.P99)
	f.add("p99/quiet", ratio(r.P99, run(v, 0).Requests(from, end).P99))
	f.add("work/uncontrolled", ratio(b.Work, run(NoiseOff, 5).Batch(from, end).Work))
	f.add("evictions", float64(b.Evictions))
	f.add("evictions/sight", float64(b.Evictions)/float64(max(run(NoiseSight, 5).Batch(from, end).Evictions, 1)))
	f.seconds("lost s", b.Lost)
	f.always(s)
	return f
}

// waves runs waves of tasks that disturb the service, twenty seconds apart.
func (v Variant) waves(site Site, seed uint64, from, end time.Duration, waves int) *Sim {
	s := v.sim(site, seed)
	s.Ask(warm/2, end, site.Rate()/15)
	size := taskOf(site, 8)
	for i := range waves {
		s.Submit(from+time.Duration(i)*20*time.Second, Job{
			ID: core.JobID(fmt.Sprint("wave", i)), Tasks: site.room(size) * 2 / 3,
			Class: site.Class, Size: size, Work: 10 * time.Second,
		})
	}
	s.Run(end + site.Timeout)
	return s
}

// Urgent measures how soon urgent tasks start on a full site.
func Urgent(site Site, v Variant, seed uint64) Figures {
	const from, end, every = 15 * time.Second, 65 * time.Second, 500 * time.Millisecond
	s := v.sim(site, seed)
	s.Ask(warm/2, end, 50)
	size := taskOf(site, 4)
	for i := range 4 {
		s.Submit(warm/2, Job{ID: core.JobID(fmt.Sprint("fill", i)), Tasks: site.room(size), Size: size, Work: 30 * time.Second})
	}
	n := 0
	for at := from; at < end; at += every {
		s.Submit(at, Job{ID: core.JobID(fmt.Sprint("urgent", n)), Tasks: 1, Size: size, Work: 2 * time.Second, Urgent: true})
		n++
	}
	s.Run(end + 20*time.Second)
	var f Figures
	p50, _ := s.UrgentStart(0.5)
	p99, started := s.UrgentStart(0.99)
	b := s.Batch(from, end)
	f.ms("start p50 ms", p50)
	f.ms("start p99 ms", p99)
	f.add("not started", float64(n-started))
	f.add("evictions", float64(b.Evictions))
	f.seconds("lost s", b.Lost)
	f.always(s)
	return f
}

// fill submits jobs whose tasks take from 15 to 90 seconds.
func (s *Sim) fill(jobs, tasks int, size core.Size) {
	for i := range jobs {
		s.Submit(warm/2, Job{
			ID: core.JobID(fmt.Sprint("fill", i)), Tasks: tasks, Size: size,
			Work: 15*time.Second + time.Duration(i*7%jobs)*75*time.Second/time.Duration(jobs),
		})
	}
}

// Out measures a data centre that is drained, given a minute, out for two and
// back, while batch tasks fill the site.
func Out(site Site, v Variant, seed uint64) Figures {
	const (
		from, by = 40 * time.Second, 100 * time.Second
		back     = from + 2*time.Minute
		end      = back + 40*time.Second
		dc       = 1
	)
	s := v.sim(site, seed)
	s.Ask(warm/2, end, 50)
	size := taskOf(site, 8)
	per := site.room(size)
	s.fill(12, per, size)
	s.Drain(from, dc, by)
	s.Return(back, dc)
	s.Run(end + site.Timeout)
	left := float64(site.Workers()-site.DCs[dc]) / float64(site.Workers())
	work := func(from, to time.Duration) float64 {
		return s.Batch(from, to).Work.Seconds() / (to - from).Seconds()
	}
	var f Figures
	before := work(from-20*time.Second, from)
	f.add("work/s before", before)
	f.add("work leaving", work(from, by)/before)
	f.add("work out, of capacity", work(by, back)/before/left)
	f.add("work moving, of capacity", work(from, back)/before/left)
	f.add("work back", work(back+15*time.Second, end)/before)
	f.seconds("lost s", s.Batch(0, end).Lost)
	f.add("evictions", float64(s.Batch(0, end).Evictions))
	f.add("starts out", float64(s.Starts(dc, from+5*time.Second, back)))
	f.add("begins out", float64(s.Begins(dc, from+5*time.Second, back)))
	r := s.Requests(from, end)
	f.add("success", r.Success())
	f.add("p99 moving", ratio(r.P99, s.Requests(warm, from).P99))
	f.always(s)
	return f
}

// PlatformDown measures two minutes without the platform.
func PlatformDown(site Site, v Variant, seed uint64) Figures {
	const from = 40 * time.Second
	const to, end = from + 2*time.Minute, from + 3*time.Minute
	s := v.sim(site, seed)
	s.Ask(warm/2, end, 100)
	size := taskOf(site, 8)
	for i := range 2 {
		s.Submit(warm/2, Job{ID: core.JobID(fmt.Sprint("fill", i)), Tasks: site.room(size), Size: size, Work: 220 * time.Second})
	}
	s.Down(from, to)
	s.Run(end + site.Timeout)
	work := func(from, to time.Duration) float64 {
		return s.Batch(from, to).Work.Seconds() / (to - from).Seconds()
	}
	before := work(from-20*time.Second, from)
	var f Figures
	r := s.Requests(from, to)
	f.add("success", r.Success())
	f.add("p99/before", ratio(r.P99, s.Requests(warm, from).P99))
	f.add("work down", work(from, to)/before)
	f.add("work after", work(to+10*time.Second, end)/before)
	f.seconds("lost s", s.Batch(0, end).Lost)
	f.add("evictions", float64(s.Batch(0, end).Evictions))
	f.add("fences", float64(s.Count("fence "+string(core.ReasonCut))))
	f.always(s)
	return f
}

// busiest returns the VM that runs the most tasks.
func (s *Sim) busiest() int {
	best, most := 0, -1
	for i, v := range s.vms {
		if n := len(v.model.Inspect(s.time()).Tasks); n > most {
			best, most = i, n
		}
	}
	return best
}

// Killed measures how soon the tasks of a VM that died run elsewhere.
func Killed(site Site, v Variant, seed uint64) Figures {
	const from = 47 * time.Second
	const end = from + 3*time.Minute
	s := v.sim(site, seed)
	s.Ask(warm/2, end, 100)
	size := taskOf(site, 8)
	s.Submit(warm/2, Job{ID: "fill", Tasks: site.room(size) / 2, Size: size, Work: 150 * time.Second})
	died := 0
	s.at(from, func() {
		died = s.busiest()
		s.vms[died].kill()
	})
	s.Run(end + site.Timeout)
	last, tasks := s.Resume(died, from)
	var f Figures
	f.seconds("resume s", last)
	f.add("resume/(lease+5 s)", ratio(last, v.policy().Lease+5*time.Second))
	f.add("tasks", float64(tasks))
	f.seconds("lost s", s.Batch(0, end).Lost)
	r := s.Requests(from, from+10*time.Second)
	f.add("success", r.Success())
	f.add("p99/before", ratio(r.P99, s.Requests(warm, from).P99))
	f.always(s)
	return f
}
