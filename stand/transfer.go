package stand

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"jayloft/core"
)

const (
	// transferTimeout bounds one load or save; it is tried again after.
	transferTimeout = 2 * time.Second
	// transferLimit is how many loads and saves one worker runs at once.
	transferLimit = 8
)

// transfers is what a VM wants loaded and saved. Of each attempt it keeps the
// newest checkpoint only.
type transfers struct {
	loads map[core.Attempt]Load
	saves map[core.Attempt]Checkpoint
}

func newTransfers() transfers {
	return transfers{loads: map[core.Attempt]Load{}, saves: map[core.Attempt]Checkpoint{}}
}

// add reports whether there is anything to add.
func (t *transfers) add(loads []Load, saves []Checkpoint) bool {
	for _, l := range loads {
		t.loads[l.Attempt] = l
	}
	for _, s := range saves {
		if old, ok := t.saves[s.Attempt]; !ok || !s.At.Before(old.At) {
			t.saves[s.Attempt] = s
		}
	}
	return len(loads)+len(saves) > 0
}

func (t *transfers) clear() { *t = newTransfers() }

// transfer loads and saves what is pending. What fails stays pending.
func (w *Worker) transfer() {
	w.mu.Lock()
	p := w.pending
	w.pending.clear()
	boot := w.model.boot
	w.mu.Unlock()
	if len(p.loads)+len(p.saves) == 0 || boot == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), transferTimeout)
	defer cancel()
	var all sync.WaitGroup
	limit := make(chan struct{}, transferLimit)
	run := func(f func()) {
		limit <- struct{}{}
		all.Go(func() {
			f()
			<-limit
		})
	}
	for _, s := range p.saves {
		run(func() { w.save(ctx, boot, s) })
	}
	for _, l := range p.loads {
		run(func() { w.load(ctx, boot, l) })
	}
	all.Wait()
}

// report runs f if the VM is still the one that asked.
func (w *Worker) report(boot string, f func(now time.Time)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.model.boot == boot {
		f(w.clock())
	}
}

func (w *Worker) save(ctx context.Context, boot string, c Checkpoint) {
	err := w.store.Put(ctx, checkpointKey(c.Attempt), []byte(c.Done.String()))
	w.report(boot, func(now time.Time) {
		if err != nil {
			w.pending.add(nil, []Checkpoint{c})
			return
		}
		w.model.Saved(now, c)
	})
}

func (w *Worker) load(ctx context.Context, boot string, l Load) {
	input, found, err := w.input(ctx, l.Input)
	var done time.Duration
	if err == nil && l.Resume {
		done, err = w.lastCheckpoint(ctx, l.Attempt)
	}
	w.report(boot, func(now time.Time) {
		switch {
		case err != nil:
			w.pending.add([]Load{l}, nil)
		case !found:
			w.model.LoadFailed(now, l.Attempt, "no such "+l.Input)
		default:
			w.model.Loaded(now, l.Attempt, input, done)
		}
	})
}

// input returns a task's input, which may be an object's.
func (w *Worker) input(ctx context.Context, input string) (text string, found bool, err error) {
	key, ok := strings.CutPrefix(input, objectPrefix)
	if !ok {
		return input, true, nil
	}
	b, found, err := w.store.Get(ctx, key)
	return string(b), found, err
}

// lastCheckpoint returns the progress of the checkpoint with the highest
// attempt number that is at most a's, or zero if there is none.
func (w *Worker) lastCheckpoint(ctx context.Context, a core.Attempt) (time.Duration, error) {
	keys, err := w.store.List(ctx, checkpointPrefix(a.Task))
	if err != nil {
		return 0, err
	}
	var last uint64
	for _, k := range keys {
		n, err := strconv.ParseUint(strings.TrimPrefix(k, checkpointPrefix(a.Task)), 10, 32)
		if err == nil && n <= uint64(a.Number) {
			last = max(last, n)
		}
	}
	if last == 0 {
		return 0, nil
	}
	a.Number = uint32(last)
	b, found, err := w.store.Get(ctx, checkpointKey(a))
	if err != nil || !found {
		return 0, err
	}
	d, err := time.ParseDuration(string(b))
	if err != nil {
		return 0, fmt.Errorf("checkpoint %v: %w", a, err)
	}
	return d, nil
}

func checkpointPrefix(t core.TaskID) string {
	return "ckpt/" + string(t.Job) + "/" + strconv.Itoa(t.N) + "/"
}

func checkpointKey(a core.Attempt) string {
	return checkpointPrefix(a.Task) + strconv.FormatUint(uint64(a.Number), 10)
}
