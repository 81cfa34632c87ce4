package sweep

import (
	"fmt"
	"time"

	"jayloft/core"
)

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
	const late = 20
	for i := range late {
		at := from + time.Duration(i)*5*time.Second
		s.Submit(at, Job{ID: core.JobID(fmt.Sprint("late", i)), Tasks: 1, Size: size, Work: time.Second})
	}
	s.Run(end + site.Timeout)
	work := func(from, to time.Duration) float64 {
		return s.Batch(from, to).Work.Seconds() / (to - from).Seconds()
	}
	before := work(from-20*time.Second, from)
	var f Figures
	r := s.Requests(from, to)
	f.add("success", r.Success())
	f.add("p99/before", ratio(r.P99, s.Requests(warm, from).P99))
	during, longest := s.Commands(from, to)
	f.seconds("command answer s", longest)
	f.add("commands refused", float64(during[core.CommandRefused]))
	f.add("commands unknown", float64(during[core.CommandUnknown]))
	taken, _ := s.Commands(from, end)
	f.add("commands not taken", float64(late-taken[core.CommandDone]))
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
