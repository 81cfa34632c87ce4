package fake

import (
	"time"

	"jayloft/core"
)

// Limits of the network when it is well.
const (
	leastHop = 100 * time.Microsecond
	mostHop  = 900 * time.Microsecond
	localHop = 100 * time.Microsecond
)

// link is a direction between two hosts.
type link struct{ from, to string }

// network holds the faults between hosts. The zero value is well.
type network struct {
	cuts   map[link]int
	delay  time.Duration // added at most
	drop   float64
	double float64
}

func (n *network) cut(l link) bool { return n.cuts[l] > 0 }

// delayFor returns the time that one message takes.
func (w *World) delayFor(from, to *proc) time.Duration {
	if from.host == to.host {
		return w.between(0, localHop)
	}
	d := w.between(leastHop, mostHop)
	if w.net.delay > 0 && w.chance(0.5) {
		d += w.between(0, w.net.delay)
	}
	return d
}

// request is one call from a process to another.
type request[A any] struct {
	from, to *proc
	limit    time.Duration       // until the caller gives up
	serve    func(reply func(A)) // runs in the callee
	done     func(A, core.Fault) // runs in the caller, once
	call     *call               // set by send
}

// send carries a call out. Its answer comes back at most once.
func send[A any](w *World, r request[A]) {
	life := r.from.life
	c := &call{}
	finish := func(a A, f core.Fault) {
		if c.done {
			return
		}
		c.done = true
		w.deliver(r.from, life, func() { r.done(a, f) })
	}
	var none A
	c.fail = func() { w.after(mostHop, func() { finish(none, core.FaultNoAnswer) }) }
	r.call = c
	w.after(w.between(0, localHop), func() {
		w.deliver(r.from, life, func() { depart(w, r, finish) })
	})
}

// depart is the moment at which the message leaves the caller.
func depart[A any](w *World, r request[A], finish func(A, core.Fault)) {
	var none A
	unsent := func(after time.Duration) {
		w.after(after, func() { finish(none, core.FaultNotSent) })
	}
	if r.to == nil || r.to.refusals > 0 || (!r.to.up && w.chance(0.7)) {
		unsent(mostHop)
		return
	}
	there, back := link{r.from.host, r.to.host}, link{r.to.host, r.from.host}
	if w.net.cut(there) || w.net.cut(back) {
		if w.chance(0.5) { // a new connection would have been needed
			unsent(min(r.limit, time.Second))
			return
		}
	}
	w.after(r.limit, func() { finish(none, core.FaultNoAnswer) })
	if len(r.to.inbound) > 100 {
		r.to.forget()
	}
	r.to.inbound = append(r.to.inbound, r.call)
	times := 1
	if r.from.host != r.to.host && w.chance(w.net.double) {
		times = 2
	}
	for range times {
		if w.net.cut(there) || (r.from.host != r.to.host && w.chance(w.net.drop)) {
			continue
		}
		w.after(w.delayFor(r.from, r.to), func() { arrive(w, r, there, back, finish) })
	}
}

// arrive is the moment at which the message reaches the callee's host.
func arrive[A any](w *World, r request[A], there, back link, finish func(A, core.Fault)) {
	if w.net.cut(there) || !r.to.up {
		return
	}
	w.deliver(r.to, r.to.life, func() {
		life := r.to.life
		r.serve(func(a A) {
			// The answer leaves the callee only if it lives on.
			w.after(w.between(0, localHop), func() {
				w.deliver(r.to, life, func() {
					if w.net.cut(back) || (r.from.host != r.to.host && w.chance(w.net.drop)) {
						return
					}
					w.after(w.delayFor(r.to, r.from), func() {
						if !w.net.cut(back) {
							finish(a, core.FaultNone)
						}
					})
				})
			})
		})
	})
}
