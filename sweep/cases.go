package sweep

import (
	"fmt"
	"time"

	"jayloft/core"
)

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
	f.add("returns, peak", float64(s.Returns(warm, end))/(site.Rate()*returnsOver.Seconds()))
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
