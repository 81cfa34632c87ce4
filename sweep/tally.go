package sweep

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"

	"jayloft/core"
	"jayloft/stand"
)

// tally records what became of requests and tasks.
type tally struct {
	requests []request
	numbers  map[core.RequestID]int
	counts   map[string]int
	begins   []begin
	jobs     map[core.JobID]submission
	attempts map[string]*attempt
	order    []*attempt // by first launch
	kept     []stand.Entry
	next     int // of the journal
	over     int
	commands []command
}

// request is what became of one request.
type request struct {
	at, took time.Duration
	service  time.Duration // of the run that came first
	answer   core.Answer
}

// begin is the start of a request's run at a worker.
type begin struct {
	at     time.Duration
	worker int
}

// command is one copy of an operator's command and its answer.
type command struct {
	at, took time.Duration
	outcome  core.CommandOutcome
}

type submission struct {
	at     time.Duration
	urgent bool
}

// attempt is one try at a task as its worker's journal shows it.
type attempt struct {
	task     core.TaskID
	number   uint32
	worker   core.WorkerID
	launched time.Duration
	runs     []span
	ended    core.EndKind
	endedAt  time.Duration
	resumed  time.Duration // its checkpoint was loaded
}

// span is a time during which an attempt ran, with its progress.
type span struct {
	from, to      time.Duration
	before, after time.Duration // progress
	open          bool
}

func newTally() tally {
	return tally{
		numbers: map[core.RequestID]int{}, counts: map[string]int{},
		jobs: map[core.JobID]submission{}, attempts: map[string]*attempt{},
	}
}

func (t *tally) sent(now time.Duration) core.RequestID {
	id := core.RequestID("r" + strconv.Itoa(len(t.requests)))
	t.numbers[id] = len(t.requests)
	t.requests = append(t.requests, request{at: now, took: -1})
	return id
}

func (t *tally) answered(now time.Duration, a core.Answer) {
	if i, ok := t.numbers[a.ID]; ok {
		r := &t.requests[i]
		r.took, r.answer = now-r.at, a
	}
}

func (t *tally) direct(id core.RequestID, d time.Duration) {
	if r := &t.requests[t.numbers[id]]; r.service == 0 {
		r.service = d
	}
}

func (t *tally) began(now time.Duration, worker int) {
	t.begins = append(t.begins, begin{now, worker})
}

func (t *tally) submitted(now time.Duration, spec core.JobSpec) {
	if _, ok := t.jobs[spec.ID]; !ok {
		t.jobs[spec.ID] = submission{now, spec.Urgent}
	}
}

func (t *tally) resumed(a core.Attempt, now time.Duration) {
	if x := t.attempts[a.String()]; x != nil {
		x.resumed = now
	}
}

// seen records the progress of an attempt that runs on.
func (t *tally) seen(c stand.Checkpoint) {
	if a := t.attempts[c.Attempt.String()]; a != nil && len(a.runs) > 0 {
		a.runs[len(a.runs)-1].after = c.Done
	}
}

// read takes what the journal has recorded of tasks since the last read.
func (t *tally) read(j *stand.Journal) {
	var entries []stand.Entry
	entries, t.next = j.Since(t.next)
	for _, e := range entries {
		switch e.Kind {
		case stand.KindRun, stand.KindPause, stand.KindEnd, stand.KindLaunch:
			t.kept = append(t.kept, e)
			t.task(e)
		case stand.KindOver:
			t.over++
		}
	}
}

func (t *tally) task(e stand.Entry) {
	a := t.attempts[e.Subject]
	if a == nil {
		name, number, _ := strings.Cut(e.Subject, "#")
		n, _ := strconv.ParseUint(number, 10, 32)
		a = &attempt{
			task: core.ParseTask(name), number: uint32(n), worker: e.Worker, launched: e.At.Sub(Epoch),
		}
		t.attempts[e.Subject] = a
		t.order = append(t.order, a)
	}
	now := e.At.Sub(Epoch)
	switch e.Kind {
	case stand.KindRun:
		a.runs = append(a.runs, span{from: now, before: progress(e.Detail), open: true})
	case stand.KindPause:
		r := &a.runs[len(a.runs)-1]
		r.to, r.after, r.open = now, progress(e.Detail), false
	case stand.KindEnd:
		a.ended, a.endedAt = core.EndKind(e.Detail), now
	}
}

// progress reads the work done from the detail of a journal's entry.
func progress(detail string) time.Duration {
	s, _, _ := strings.Cut(strings.TrimPrefix(detail, "done="), " ")
	d, err := time.ParseDuration(s)
	if err != nil {
		panic(err) // the journal is written by package stand
	}
	return d
}

// tries returns the attempts of each task, in order.
func (t *tally) tries() map[core.TaskID][]*attempt {
	m := map[core.TaskID][]*attempt{}
	for _, a := range t.order {
		m[a.task] = append(m[a.task], a)
	}
	for _, as := range m {
		slices.SortFunc(as, func(a, b *attempt) int { return cmp.Compare(a.number, b.number) })
	}
	return m
}
