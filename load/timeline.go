package load

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"jayloft/core"
	"jayloft/stand"
	"jayloft/wire"
)

// action is something that is done to the site at a time.
type action struct {
	at time.Duration
	do func(ctx context.Context)
}

// timeline does everything that the experiment plans besides its loads. Actions
// don't wait for each other.
func (r *run) timeline(ctx context.Context) {
	actions := append(r.faults(), r.orders()...)
	actions = append(actions, r.jobs()...)
	slices.SortStableFunc(actions, func(a, b action) int { return int(a.at - b.at) })
	var all sync.WaitGroup
	for _, a := range actions {
		if !wait(ctx, r.start.Add(a.at)) {
			break
		}
		all.Go(func() { a.do(ctx) })
	}
	wait(ctx, r.start.Add(r.x.length()))
	all.Wait()
}

func (r *run) faults() []action {
	var as []action
	for _, f := range r.x.Faults {
		as = append(as, action{f.At.D(), func(context.Context) { r.fault(f, true) }})
		if f.Last > 0 {
			as = append(as, action{(f.At + f.Last).D(), func(context.Context) { r.fault(f, false) }})
		}
	}
	return as
}

// fault switches a fault on or off.
func (r *run) fault(f Fault, on bool) {
	err := r.site.fault(f, on)
	word := "off"
	if on {
		word = "on"
	}
	if err != nil {
		r.note("%s at %s can't be switched %s: %v", f.Name, f.On, word, err)
		return
	}
	r.note("%s at %s is %s", f.Name, f.On, word)
}

func (s *Site) fault(f Fault, on bool) error {
	value := f.Value
	if !on {
		value = 0
	} else if value == 0 {
		value = 1
	}
	if f.On == "platform" {
		return s.platform.SetFault(stand.Fault(f.Name), value, time.Time{})
	}
	for _, e := range s.entries {
		if e.name == f.On {
			if on {
				e.kill()
				return nil
			}
			return e.boot()
		}
	}
	for _, v := range s.vms {
		if string(v.worker) != f.On {
			continue
		}
		switch {
		case f.Name != string(stand.FaultKill):
			return v.stand.SetFault(stand.Fault(f.Name), value, time.Time{})
		case on:
			v.die()
			return nil
		}
		return v.revive()
	}
	return fmt.Errorf("there is no %s", f.On)
}

func (r *run) orders() []action {
	var as []action
	for i, o := range r.x.Orders {
		as = append(as, action{o.At.D(), func(ctx context.Context) {
			req := &wire.DoRequest{Id: "order-" + strconv.Itoa(i), Statement: o.Statement}
			if _, err := r.operator.ask(ctx, req); err != nil {
				r.note("failed: %v", err)
				return
			}
			r.note("%s", o.Statement)
		}})
	}
	return as
}

func (r *run) jobs() []action {
	var as []action
	for _, j := range r.x.Jobs {
		for n := range j.Count {
			at := j.At.D() + time.Duration(n)*j.Every.D()
			as = append(as, action{at, func(ctx context.Context) { r.submit(ctx, j, n) }})
		}
	}
	return as
}

// submit submits one job of a wave.
func (r *run) submit(ctx context.Context, j Jobs, n int) {
	id := fmt.Sprintf("%s-%d", j.Name, n+1)
	inputs := make([]string, j.Tasks)
	for i := range inputs {
		inputs[i] = strconv.Quote(j.Input)
	}
	words := []string{"create job", strconv.Quote(id), "team", j.Team, "class", j.Class, "cores", strconv.Itoa(j.Cores), "memory", j.Memory}
	if j.Urgent {
		words = append(words, "urgent")
	}
	words = append(words, "inputs", strings.Join(inputs, ", "))
	asked := time.Now()
	if _, err := r.operator.ask(ctx, &wire.DoRequest{Id: "submit-" + id, Statement: strings.Join(words, " ")}); err != nil {
		r.note("failed: %v", err)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tasks += j.Tasks
	if j.Urgent {
		r.asked[core.JobID(id)] = asked
	}
}
