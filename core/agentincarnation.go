package core

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// join adopts the tasks that an earlier agent process started, with their
// incarnation. If there are none, the agent joins as a new incarnation, but only
// once no launch of an earlier process can still be in flight. It reports whether
// the agent has joined.
func (a *Agent) join(tasks []WorkerTask) bool {
	for _, t := range tasks {
		if t.State == WorkerEnded {
			if a.inc == "" {
				a.inc = t.Inc
			}
			continue
		}
		a.inc = t.Inc
		a.held[t.Attempt.Task] = adoptedTask(t, a.at.Now.Add(a.pol.Lease))
	}
	if a.inc == "" && !a.pol.IncFromBoot && !a.launchesSettled() {
		return false
	}
	a.ready, a.joinedAt = true, a.at.Now
	a.grantedUntil = a.at.Now.Add(a.pol.Lease) // by an earlier process
	if len(a.held) > 0 {
		a.calls.timedOutAt = a.at.Now // as the earlier process may know
	}
	if a.inc == "" {
		a.newIncarnation()
	}
	a.logNote("joined", string(a.inc), fmt.Sprintf("%d tasks adopted", len(a.held)))
	return true
}

// launchesSettled reports whether every launch by an earlier agent process on this
// VM has either reached the worker or is past its permit.
func (a *Agent) launchesSettled() bool {
	if a.pol.FencedCalls {
		return a.ready
	}
	return a.at.Now.After(a.startedAt.Add(a.pol.Permit + a.pol.Drift))
}

// newIncarnation starts a new incarnation. No task may be held but stale ones.
func (a *Agent) newIncarnation() {
	switch {
	case a.inc == "":
	case a.holdsStale():
		a.dying = a.inc
	default:
		a.dead[a.inc] = true
	}
	a.fenced = false
	a.echo, a.joinedAt = time.Time{}, a.at.Now
	if a.pol.IncFromBoot {
		a.nextBootIncarnation()
		return
	}
	a.inc = Incarnation(fmt.Sprintf("%s-%x-%x", a.self.Run, a.at.Now.UnixNano(), a.at.Seed))
}

// nextBootIncarnation starts the next incarnation of the worker's present boot. A
// restarted agent starts again at number 0, so that it keeps the tasks that run;
// if that incarnation was fenced, it advances as this process did.
func (a *Agent) nextBootIncarnation() {
	if a.incBoot == a.boot {
		a.incN++
	} else {
		a.incBoot, a.incN = a.boot, 0
	}
	a.inc = Incarnation(fmt.Sprintf("%s.%d", a.boot, a.incN))
}

// isKnownDead reports whether an incarnation is known to be dead: it is of an
// earlier boot, or this process has abandoned it.
func (a *Agent) isKnownDead(inc Incarnation) bool {
	if inc == "" || inc == a.inc || inc == a.dying || a.fenced {
		return false
	}
	n, sameBoot := strings.CutPrefix(string(inc), a.boot+".")
	if !a.pol.IncFromBoot || !sameBoot {
		return true
	}
	k, err := strconv.Atoi(n)
	return err == nil && k < a.incN
}

// handleReboot ends what the VM held before it was restarted while the agent kept
// running. The new boot lists the tasks that were launched there already.
func (a *Agent) handleReboot(tasks []WorkerTask) {
	a.markStale(tasks)
	a.recordCrash()
	for id, t := range a.held {
		if !t.stale {
			delete(a.held, id)
		}
	}
	a.draining, a.leftAt = false, time.Time{}
	a.confirmedUntil, a.renewUntil = time.Time{}, time.Time{}
	a.calls.timedOutAt = time.Time{} // by the crash
	a.newIncarnation()
	a.logNote("worker restarted", string(a.inc), "")
	for _, t := range a.heldByUnsavedWork() {
		if t.listed {
			a.stop(t, EndEvicted, "launched after its worker was restarted")
		}
	}
}

// markStale marks the tasks of the former boot that the new one runs, or may yet run
// since their launches are in flight and the worker does not fence them.
func (a *Agent) markStale(tasks []WorkerTask) {
	for _, w := range tasks {
		if t := a.held[w.Attempt.Task]; t != nil && t.order.Attempt == w.Attempt {
			t.stale, t.listed = true, true
		}
	}
	if a.pol.FencedCalls {
		return
	}
	for _, t := range a.held {
		t.stale = t.stale || t.launched && !t.started && t.launchLostAt.IsZero()
	}
}

// holdsStale reports whether the incarnation before this one may still run a task.
func (a *Agent) holdsStale() bool {
	for _, t := range a.held {
		if t.stale {
			return true
		}
	}
	return false
}

// advanceDying confirms the death of the incarnation before this one once all of its tasks
// are gone. Until then no entry moves their claims.
func (a *Agent) advanceDying() {
	if a.dying == "" || a.holdsStale() {
		return
	}
	a.dead[a.dying] = true
	a.dying = ""
	a.expediteHeartbeats()
}
