package fake

import (
	"fmt"
	"time"

	"jayloft/core"
)

// leaveIn is how long a process that is asked to stop may take.
const leaveIn = 20 * time.Second

// Do does something to the World. Faults that have a length end by
// themselves.
func (w *World) Do(a Action) {
	if w.trace != nil {
		w.log("test", fmt.Sprintf("%T%+v", a, a))
	}
	switch a := a.(type) {
	case Wait:
		w.Run(a.For)
	case Enqueue:
		w.client.enqueue(a)
	case Dequeue:
		w.client.dequeue(a)
	case Read:
		w.client.read(a)
	case Submit, Cancel, Ask, Drain, Return, Race, SetPolicy, SetQuota:
		w.doClient(a)
	case CutVM, CutDC, CutStore, CutEntries:
		w.doCut(a)
	case Refuse:
		w.refuse(w.target(a), a.For)
	case Net, Store, Objects, FailReads:
		w.doIll(a)
	default:
		w.doProc(a)
	}
}

func (w *World) doClient(a Action) {
	switch a := a.(type) {
	case Submit:
		w.submit(a)
	case Cancel:
		n := len(w.client.jobs)
		for _, id := range w.client.jobs[max(0, n-a.Last):] {
			w.client.command(a.Entry, core.CancelJob{Job: id})
		}
	case Ask:
		for i := range a.N {
			w.after(a.Over*time.Duration(i)/time.Duration(a.N), func() {
				w.client.ask(a.Entry+i, a.Service, a.Idempotent, a.Timeout, a.Gone)
			})
		}
	case Drain:
		w.drain(a.Entry, a.DC, a.In, core.VersionCond{})
	case Return:
		w.client.command(a.Entry, core.Return{DC: dcName(a.DC % w.cfg.dcs)})
	case Race:
		w.race(a)
	case SetQuota:
		row := core.TeamRow{Name: "red", Quota: core.Size{Millicores: a.Millicores}}
		w.client.command(a.Entry, core.CreateTeam{Row: row})
	case SetPolicy:
		w.client.command(a.Entry, core.SetPolicy{Row: core.PolicyRow{Name: "hedges", Value: float64(a.Value) / 1000}})
	}
}

// targetLatency is the tail-latency target of long-running tasks.
const targetLatency = 100 * time.Millisecond

func (w *World) submit(a Submit) {
	spec := core.JobSpec{Team: "red", Class: a.Class, Size: a.Size, Urgent: a.Urgent, Once: a.Once}
	if spec.Size == (core.Size{}) {
		spec.Size = core.Size{Millicores: 1000, MemoryMB: 1000}
	}
	if a.LongRunning {
		spec.Steps = []core.StepSpec{{Count: a.Tasks, Size: spec.Size, LongRunning: true, Target: targetLatency, Image: a.Class, MaxPerWorker: a.MaxPerWorker}}
		w.client.submit(a.Entry, spec)
		return
	}
	if a.Steps && a.Tasks > 1 {
		first := a.Tasks / 2
		spec.Steps = []core.StepSpec{
			{Count: first, Size: spec.Size, MaxPerWorker: a.MaxPerWorker},
			{Count: a.Tasks - first, Size: spec.Size, After: []int{0}, MaxPerWorker: a.MaxPerWorker},
		}
		w.client.submit(a.Entry, spec)
		return
	}
	for i := range max(a.Tasks, 1) {
		spec.Inputs = append(spec.Inputs, fmt.Sprintf("input %d", i))
	}
	w.client.submit(a.Entry, spec)
}

func (w *World) drain(n, dc int, in time.Duration, v core.VersionCond) {
	by := w.now
	if e := w.client.pick(n); e != nil {
		by = e.proc.clock.local(w.now)
	}
	w.client.command(n, core.Drain{DC: dcName(dc % w.cfg.dcs), Deadline: by.Add(in), If: v})
}

func (w *World) race(a Race) {
	var v core.VersionCond
	if a.If {
		v = core.VersionCond{Set: true, N: w.oracle.version()}
	}
	for n := range w.entries {
		if n%2 == 0 {
			w.drain(n, a.DC, time.Minute, v)
			continue
		}
		w.client.command(n, core.Return{DC: dcName(a.DC % w.cfg.dcs), If: v})
	}
}

func (w *World) entry(n int) *entry { return w.entries[n%len(w.entries)] }
func (w *World) vm(n int) *vm       { return w.vms[n%len(w.vms)] }

// spring does do now, or when the process next makes an effect of a kind.
func (p *proc) spring(kind string, do func()) {
	if kind == "" {
		do()
		return
	}
	p.trap = &trap{kind: kind, do: do}
}

// recovery is how long after a restart the oracle expects no news yet.
const recovery = 3 * time.Second

func (w *World) doProc(a Action) {
	switch a := a.(type) {
	case KillEntry:
		w.killEntry(w.entry(a.Entry), a)
	case PauseEntry:
		e := w.entry(a.Entry)
		e.proc.spring(a.On, func() { w.pause(e.proc, a.For) })
	case LeaveEntry:
		w.entry(a.Entry).leave(leaveIn)
	case KillAgent:
		w.killAgent(w.vm(a.VM).agent, a)
	case PauseAgent:
		g := w.vm(a.VM).agent
		g.proc.spring(a.On, func() { w.pause(g.proc, a.For) })
	case LeaveAgent:
		w.vm(a.VM).agent.leave(leaveIn)
	case KillVM:
		w.killVM(w.vm(a.VM), a.For)
	case Resize:
		w.resize(w.vm(a.VM).worker, a)
	case CrashWorker:
		w.crash(w.vm(a.VM), a.For)
	case PauseVM:
		w.vm(a.VM).pause(a.For)
	case Unwell:
		w.unwell(w.vm(a.VM).worker, a)
	}
}

func (w *World) killEntry(e *entry, a KillEntry) {
	e.proc.spring(a.On, func() {
		e.kill()
		w.oracle.trouble(w.now.Add(a.For + recovery))
		w.after(a.For, func() {
			if !e.proc.up {
				e.start()
			}
		})
	})
}

func (w *World) killAgent(g *agent, a KillAgent) {
	g.proc.spring(a.On, func() {
		g.kill()
		w.oracle.trouble(w.now.Add(a.For + recovery))
		w.after(a.For, func() {
			if !g.proc.up && !g.vm.off {
				g.start()
			}
		})
	})
}

func (w *World) killVM(m *vm, d time.Duration) {
	m.kill()
	w.oracle.trouble(w.now.Add(d + recovery))
	w.after(d, func() {
		if m.off {
			m.start()
		}
	})
}

// resize changes a worker's capacity for a while.
func (w *World) resize(k *worker, a Resize) {
	full := w.cfg.capacity
	k.resize(core.Size{
		Millicores: full.Millicores * int64(a.Percent) / 100, MemoryMB: full.MemoryMB * int64(a.Percent) / 100,
		Accelerators: full.Accelerators,
	})
	w.oracle.trouble(w.now.Add(a.For))
	w.after(a.For, func() { k.resize(full) })
}

// witnessTime is how long after the worker's return its agent must live to tell of a crash.
const witnessTime = time.Second

// crash kills a worker without its agent.
func (w *World) crash(m *vm, d time.Duration) {
	if !m.worker.proc.up {
		return
	}
	ids := w.oracle.crashed(m.worker)
	agent := m.agent.proc
	agentLife := agent.life
	m.killWorker()
	w.oracle.trouble(w.now.Add(d + recovery))
	life := m.worker.proc.life
	w.after(d, func() {
		if !m.off && !m.worker.proc.up && m.worker.proc.life == life {
			m.startWorker()
		}
	})
	w.after(d+witnessTime, func() {
		if agent.up && !agent.paused && agent.life == agentLife {
			w.oracle.witnessed(ids)
		}
	})
}

func (w *World) unwell(k *worker, a Unwell) {
	w.oracle.trouble(w.now.Add(a.For))
	if a.Slow {
		k.unwell = true
		w.after(a.For, func() { k.unwell = false })
		return
	}
	k.failing = true
	w.after(a.For, func() { k.failing = false })
}

func (w *World) doCut(a Action) {
	switch a := a.(type) {
	case CutVM:
		for n := range w.entries {
			if a.Entry < 0 || a.Entry%len(w.entries) == n {
				w.cut(w.entries[n].proc.host, string(w.vm(a.VM).id), a.Way, a.For)
			}
		}
	case CutDC:
		for _, m := range w.vms {
			if m.dc == dcName(a.DC%w.cfg.dcs) {
				w.doCut(CutVM{VM: m.n, Entry: a.Entry, Way: a.Way, For: a.For})
			}
		}
	case CutStore:
		for n := range w.entries {
			if a.Entry < 0 || a.Entry%len(w.entries) == n {
				w.cut(w.entries[n].proc.host, w.store.proc.host, a.Way, a.For)
			}
		}
	case CutEntries:
		if x, y := w.entry(a.A), w.entry(a.B); x != y {
			w.cut(x.proc.host, y.proc.host, a.Way, a.For)
		}
	}
}

// target returns the process that is to refuse connections.
func (w *World) target(a Refuse) *proc {
	switch a.Of {
	case TargetWorker:
		return w.vm(a.N).worker.proc
	case TargetAgent:
		return w.vm(a.N).agent.proc
	case TargetEntry:
		return w.entry(a.N).proc
	default:
		return w.store.proc
	}
}

// refuse breaks the calls in flight to a process, and refuses new ones for d.
func (w *World) refuse(p *proc, d time.Duration) {
	w.oracle.trouble(w.now.Add(d))
	p.refusals++
	p.breakInbound()
	w.after(d, func() { p.refusals-- })
}

func (w *World) doIll(a Action) {
	switch a := a.(type) {
	case Net:
		w.worsen(a)
	case Store:
		w.ill(a)
	case FailReads:
		w.failReads(a)
	case Objects:
		w.objects.down++
		w.oracle.trouble(w.now.Add(a.For))
		w.after(a.For, func() { w.objects.down-- })
	}
}

func (w *World) cut(a, b string, way Way, d time.Duration) {
	var links []link
	if way != OnlyFrom {
		links = append(links, link{a, b})
	}
	if way != OnlyTo {
		links = append(links, link{b, a})
	}
	if w.net.cuts == nil {
		w.net.cuts = make(map[link]int)
	}
	w.oracle.trouble(w.now.Add(d))
	for _, l := range links {
		w.net.cuts[l]++
		w.after(d, func() { w.net.cuts[l]-- })
	}
}

func (w *World) worsen(a Net) {
	w.oracle.trouble(w.now.Add(a.For))
	n := &w.net
	n.delay += a.Delay
	n.drop += a.Drop
	n.double += a.Double
	w.after(a.For, func() {
		n.delay -= a.Delay
		n.drop -= a.Drop
		n.double -= a.Double
	})
}

func (w *World) failReads(a FailReads) {
	w.oracle.trouble(w.now.Add(a.For))
	for n, e := range w.entries {
		if a.Entry < 0 || a.Entry%len(w.entries) == n {
			u := unread{e.proc, a.Prefix}
			w.store.unread[u]++
			w.after(a.For, func() { w.store.unread[u]-- })
		}
	}
}

func (w *World) ill(a Store) {
	w.oracle.trouble(w.now.Add(a.For))
	s := w.store
	if a.Down {
		s.down++
	}
	s.slow += a.Slow
	s.lose += a.Lose
	s.late += a.Late
	w.after(a.For, func() {
		if a.Down {
			s.down--
		}
		s.slow -= a.Slow
		s.lose -= a.Lose
		s.late -= a.Late
	})
}
