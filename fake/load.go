package fake

import (
	"hash/fnv"
	"time"

	"jayloft/core"
)

// ClassBad is the class of tasks that always fail.
const ClassBad = "bad"

// ClassCrash is the class of tasks that crash each worker that starts them.
const ClassCrash = "crash"

// crashDelay is how long after its start such a task crashes the worker, and crashTime
// how long the worker is away then.
const (
	crashDelay = 3 * time.Millisecond
	crashTime  = 3500 * time.Millisecond
)

func outputOf(a core.Attempt) string  { return "output of " + a.String() }
func bodyOf(id core.RequestID) []byte { return []byte("answer to " + string(id) + ".") }

// share spreads names evenly over the numbers.
func share(s string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(s))
	return h.Sum32()
}

// defaultWork spreads tasks from 0.2 s to 40 s, half of them below 5 s.
func defaultWork(t core.TaskID) time.Duration {
	d := time.Duration(share(t.String()) % 1000)
	return 200*time.Millisecond + d*d*d*40*time.Nanosecond
}

// defaultServe spreads requests from 1 ms to 800 ms, most of them short.
func defaultServe(id core.RequestID) time.Duration {
	d := time.Duration(share(string(id)) % 1000)
	return time.Millisecond * (1 + d*d*d/1250000)
}

// usedBy returns what a task really uses: from half to one and a half of what
// it declared.
func usedBy(t *task) core.Size {
	if t.state != core.WorkerRunning {
		return core.Size{}
	}
	f := int64(50 + share(string(t.order.Attempt.Task.Job))%100)
	s := t.order.Size
	return core.Size{Millicores: s.Millicores * f / 100, MemoryMB: s.MemoryMB * f / 100, Accelerators: s.Accelerators}
}
