package fake

import (
	"fmt"
	"net/netip"
	"time"

	"jayloft/core"
)

// vm is one worker with the agent beside it.
type vm struct {
	w      *World
	n      int
	id     core.WorkerID
	dc     core.DC
	rack   core.Rack
	agent  *agent
	worker *worker
	boots  int
	off    bool // the whole VM is down
}

func dcName(i int) core.DC { return core.DC(fmt.Sprintf("dc%d", i)) }

func newVM(w *World, n int) *vm {
	m := &vm{
		w:    w,
		n:    n,
		id:   core.WorkerID(fmt.Sprintf("w%d", n)),
		dc:   dcName(n % w.cfg.dcs),
		rack: core.Rack(fmt.Sprintf("r%d", n/w.cfg.dcs/3)),
	}
	host := string(m.id)
	p := w.newProc("agent "+host, host)
	m.worker = &worker{w: w, vm: m, proc: w.newProc("worker "+host, host)}
	m.worker.proc.clock = p.clock // one machine, one clock
	m.agent = newAgent(w, m, p)
	return m
}

// addr returns the address of the VM's agent.
func (m *vm) addr() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(m.n >> 8), byte(m.n)}), 7100)
}

// start boots the VM: its worker holds nothing.
func (m *vm) start() {
	m.off = false
	m.startWorker()
	m.agent.start()
}

// startWorker starts the worker alone, with a new boot id.
func (m *vm) startWorker() {
	m.boots++
	k := m.worker
	m.w.boot(k.proc)
	k.boot = fmt.Sprintf("%s-boot%d", m.id, m.boots)
	k.tasks = make(map[core.Attempt]*task)
	k.calls = make(map[core.RequestID]int)
	k.order = nil
}

// kill ends the VM and all that it holds.
func (m *vm) kill() {
	m.off = true
	m.agent.kill()
	m.killWorker()
}

// killWorker ends the worker and all that it holds; the agent beside it lives on.
func (m *vm) killWorker() {
	m.w.kill(m.worker.proc)
	m.worker.tasks = make(map[core.Attempt]*task)
	m.worker.order = nil
}

// pause freezes agent, worker and tasks alike.
func (m *vm) pause(d time.Duration) {
	k := m.worker
	if !k.proc.up || k.proc.paused {
		return
	}
	for _, a := range k.order {
		k.advance(k.tasks[a])
	}
	m.w.pause(m.agent.proc, d)
	k.proc.paused = true
	life := k.proc.life
	m.w.after(d, func() {
		if !k.proc.up || k.proc.life != life || !k.proc.paused {
			return
		}
		m.thaw()
	})
}

// thaw lets the worker look at its clock before anything else runs.
func (m *vm) thaw() {
	k := m.worker
	for _, a := range k.order {
		t := k.tasks[a]
		t.since = m.w.now
		if t.state != core.WorkerRunning {
			continue
		}
		if !k.proc.clock.local(m.w.now).Before(t.deadline) {
			k.save(t)
			t.state = core.WorkerPaused
			t.gen++
			continue
		}
		k.plan(t)
	}
	m.w.resume(k.proc)
	m.w.oracle.changed(k)
}

// entryAddr returns the address of the n-th entry's EntryService.
func entryAddr(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}), 7000)
}

// entryAt finds the process behind an address.
func (w *World) entryAt(a netip.AddrPort) *entry {
	for _, e := range w.entries {
		if entryAddr(e.n) == a {
			return e
		}
	}
	return nil
}

// agentAt finds the agent behind an address.
func (w *World) agentAt(a netip.AddrPort) *agent {
	if !a.Addr().Is4() {
		return nil
	}
	b := a.Addr().As4()
	n := int(b[2])<<8 | int(b[3])
	if b[0] != 10 || b[1] != 1 || n >= len(w.vms) {
		return nil
	}
	return w.vms[n].agent
}
