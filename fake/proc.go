package fake

import (
	"fmt"
	"time"
)

// clock is a machine's own clock, which runs at its own rate.
type clock struct {
	offset time.Duration
	rate   float64
}

// local returns what the clock shows at the World's time t.
func (c clock) local(t time.Time) time.Time {
	return Epoch.Add(c.offset + time.Duration(float64(t.Sub(Epoch))*c.rate))
}

// world returns the World's time at which the clock has passed l.
func (c clock) world(l time.Time) time.Time {
	return Epoch.Add(time.Duration(float64(l.Sub(Epoch)-c.offset)/c.rate) + rounding)
}

// rounding makes up for what the conversion between clocks loses.
const rounding = time.Microsecond

// proc is a process: something that can die, pause and be called.
type proc struct {
	name     string
	host     string
	clock    clock
	life     int // counts its starts
	up       bool
	paused   bool
	pausedAt time.Time
	resumed  time.Time
	held     []func() // arrived while it was paused
	undone   []func() // effects that it was to carry out when it was paused
	inbound  []*call
	trap     *trap
	refusals int // cuts that refuse connections to it
}

// trap pauses or kills a process the next time it makes an effect of a kind.
type trap struct {
	kind string
	do   func()
}

// call is a call on its way.
type call struct {
	done bool
	fail func()
}

func (w *World) newProc(name, host string) *proc {
	return &proc{
		name: name,
		host: host,
		clock: clock{
			offset: w.between(-time.Hour, time.Hour),
			rate:   1 + w.cfg.drift*(2*w.rand.Float64()-1),
		},
	}
}

// deliver runs do in the process's given life: at once, after its pause, or
// never.
func (w *World) deliver(p *proc, life int, do func()) {
	switch {
	case !p.up || p.life != life:
	case p.paused:
		p.held = append(p.held, func() { w.deliver(p, life, do) })
	default:
		do()
	}
}

func (w *World) boot(p *proc) {
	p.life++
	p.up, p.paused, p.held, p.undone, p.trap = true, false, nil, nil, nil
	p.resumed = w.now
	w.log(p.name, fmt.Sprintf("starts life %d", p.life))
}

// kill ends the process. Callers that wait for it see their connection break
// now or time out later.
func (w *World) kill(p *proc) {
	if !p.up {
		return
	}
	w.log(p.name, "is killed")
	p.up, p.paused, p.held, p.undone, p.trap = false, false, nil, nil, nil
	if w.chance(0.5) {
		p.breakInbound()
	}
	p.inbound = nil
}

// breakInbound breaks the calls to the process that are in flight. They may be carried out.
func (p *proc) breakInbound() {
	calls := p.inbound
	p.inbound = nil
	for _, c := range calls {
		c.fail()
	}
}

func (w *World) pause(p *proc, d time.Duration) {
	if !p.up || p.paused {
		return
	}
	w.log(p.name, fmt.Sprintf("is paused for %s", d))
	p.paused, p.pausedAt = true, w.now
	life := p.life
	w.oracle.trouble(w.now.Add(d))
	w.after(d, func() {
		if p.up && p.life == life && p.paused {
			w.resume(p)
		}
	})
}

// resume carries out the effects that are left, in order, and then what has
// arrived meanwhile, in any order.
func (w *World) resume(p *proc) {
	w.log(p.name, "resumes")
	held, undone := p.held, p.undone
	p.paused, p.held, p.undone, p.resumed = false, nil, nil, w.now
	for _, do := range undone {
		do()
	}
	w.rand.Shuffle(len(held), func(i, j int) { held[i], held[j] = held[j], held[i] })
	for _, do := range held {
		do()
	}
}

// emits springs the process's trap if it is set for this kind of effect.
func (p *proc) emits(kind string) {
	if p.trap == nil || p.trap.kind != kind {
		return
	}
	t := p.trap
	p.trap = nil
	t.do()
}

// forget drops the calls to the process that are over.
func (p *proc) forget() {
	open := p.inbound[:0]
	for _, c := range p.inbound {
		if !c.done {
			open = append(open, c)
		}
	}
	p.inbound = open
}
