package stand

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"jayloft/core"
)

// objectPrefix marks an input that is the key of an object.
const objectPrefix = "object:"

func isObject(input string) bool { return strings.HasPrefix(input, objectPrefix) }

// Class is a kind of batch task that a worker can run.
type Class struct {
	// Work returns how long the task takes at full speed.
	Work func(input string) time.Duration
	// Used returns what the task takes of the VM, which may be far from what
	// was declared. Nil: what was declared.
	Used func(input string, declared core.Size) core.Size
	// Run returns the task's output. Nil: none.
	Run func(input string) (string, error)
}

func (c Class) used(o core.Order) core.Size {
	if c.Used == nil {
		return o.Size
	}
	return c.Used(o.Input, o.Size)
}

func (c Class) run(input string) (string, error) {
	if c.Run == nil {
		return "", nil
	}
	return c.Run(input)
}

// defaultSleep is how long a task of class sleep with an empty input takes.
const defaultSleep = time.Second

// sleepInput is the parsed input of a task of class sleep.
type sleepInput struct {
	work time.Duration
	use  core.Size // zero fields: as declared
	fail bool
}

// parseSleep reads an input of class sleep.
func parseSleep(input string) (sleepInput, error) {
	var in sleepInput
	words := strings.Fields(input)
	if len(words) == 0 {
		return sleepInput{work: defaultSleep}, nil
	}
	d, err := time.ParseDuration(words[0])
	if err != nil {
		return in, fmt.Errorf("sleep: %w", err)
	}
	in.work = d
	for _, w := range words[1:] {
		if w == "fail" {
			in.fail = true
			continue
		}
		name, value, _ := strings.Cut(w, "=")
		n, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return in, fmt.Errorf("sleep: %q: %w", w, err)
		}
		switch name {
		case "cores":
			in.use.Millicores = int64(n * 1000)
		case "memory":
			in.use.MemoryMB = int64(n)
		case "accelerators":
			in.use.Accelerators = int64(n)
		default:
			return in, fmt.Errorf("sleep: unknown word %q", w)
		}
	}
	return in, nil
}

// Sleep returns the class of tasks that only take time, as their input says:
// a duration, then any of the words fail, cores=N, memory=MB, accelerators=N.
// An empty input takes a second.
func Sleep() Class {
	return Class{
		Work: func(input string) time.Duration {
			in, _ := parseSleep(input)
			return in.work
		},
		Used: func(input string, declared core.Size) core.Size {
			in, _ := parseSleep(input)
			use := declared
			if in.use.Millicores > 0 {
				use.Millicores = in.use.Millicores
			}
			if in.use.MemoryMB > 0 {
				use.MemoryMB = in.use.MemoryMB
			}
			if in.use.Accelerators > 0 {
				use.Accelerators = in.use.Accelerators
			}
			return use
		},
		Run: func(input string) (string, error) {
			in, err := parseSleep(input)
			if err != nil {
				return "", err
			}
			if in.fail {
				return "", fmt.Errorf("sleep: failed as its input says")
			}
			return "slept " + in.work.String(), nil
		},
	}
}
