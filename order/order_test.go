package order_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayloft/order"
)

// burstJob is a job of equal tasks in the simulation of a burst; tasks counts
// those that have not started.
type burstJob struct {
	order.Job
	tasks  int
	actual time.Duration // run time of each task
	open   int           // tasks that have not ended
	all    int
	ended  time.Time
	value  float64
	arrive time.Duration
}

// replay simulates a burst in virtual time on a fixed number of slots. It returns
// the value earned, which is all of a job's value in time and 0.15 of it late, and
// the total value of all jobs.
func replay(seed uint64, rank func(time.Time, order.Job) order.Rank) (earned, total float64) {
	const slots = 60
	r := rand.New(rand.NewPCG(seed, 1))
	var jobs []*burstJob
	for at := time.Duration(0); at < 40*time.Second; {
		rate := 1.45 // jobs a second, a little under what the slots take
		if at > 8*time.Second && at < 14*time.Second {
			rate *= 2.6
		}
		at += time.Duration(r.ExpFloat64() / rate * float64(time.Second))
		actual := time.Duration((0.4 + 2.4*r.Float64()) * float64(time.Second))
		declared := time.Duration(float64(actual) * (0.5 + 1.5*r.Float64())) // off by up to a factor of two
		tasks := 4 + r.IntN(40)
		j := &burstJob{tasks: tasks, open: tasks, all: tasks, actual: actual, arrive: at}
		j.value = 0.3 + 0.7*float64(tasks)*actual.Seconds()/40
		j.Accepted = time.Unix(0, 0).Add(at)
		j.Deadline = j.Accepted.Add(time.Second + 2*actual)
		j.Remaining = declared
		jobs = append(jobs, j)
	}
	run(jobs, slots, rank)
	for _, j := range jobs {
		total += j.value
		switch took := j.ended.Sub(j.Accepted); {
		case j.ended.IsZero() || took > 3*j.Deadline.Sub(j.Accepted):
		case j.ended.After(j.Deadline):
			earned += 0.15 * j.value
		default:
			earned += j.value
		}
	}
	return earned, total
}

// run assigns free slots to tasks by rank, every 50 ms.
func run(jobs []*burstJob, slots int, rank func(time.Time, order.Job) order.Rank) {
	type running struct {
		job *burstJob
		end time.Time
	}
	var busy []running
	for now := time.Unix(0, 0); now.Before(time.Unix(60, 0)); now = now.Add(50 * time.Millisecond) {
		busy = slices.DeleteFunc(busy, func(x running) bool {
			if x.end.After(now) {
				return false
			}
			x.job.open--
			if x.job.open == 0 {
				x.job.ended = x.end
			}
			return true
		})
		var waiting []*burstJob
		for _, j := range jobs {
			if j.tasks > 0 && !j.Accepted.After(now) {
				waiting = append(waiting, j)
			}
		}
		for _, j := range waiting {
			j.Undone = float64(j.open) / float64(j.all)
		}
		slices.SortStableFunc(waiting, func(a, b *burstJob) int { return rank(now, a.Job).Compare(rank(now, b.Job)) })
		for _, j := range waiting {
			for j.tasks > 0 && len(busy) < slots {
				j.tasks--
				busy = append(busy, running{j, now.Add(j.actual)})
			}
		}
	}
}

// Under a burst, ranking jobs that can't meet a deadline behind those that can
// earns more than earliest deadline first.
func TestBurstAgainstEarliestDeadline(t *testing.T) {
	baseline := func(_ time.Time, j order.Job) order.Rank { return order.EarliestDeadline(j) }
	var with, without, total float64
	for seed := range uint64(20) {
		a, o := replay(seed, order.RankOf)
		b, _ := replay(seed, baseline)
		with, without, total = with+a, without+b, total+o
	}
	t.Logf("earned %.3f of the total value, earliest deadline first %.3f", with/total, without/total)
	assert.Assert(t, with > without*1.2)
}

func TestClasses(t *testing.T) {
	at := time.Unix(100, 0)
	j := order.Job{Accepted: at, Deadline: at.Add(4 * time.Second), Remaining: time.Second}
	assert.Equal(t, j.Class(at.Add(3*time.Second)), order.InTime)
	assert.Equal(t, j.Class(at.Add(4*time.Second)), order.Late)
	assert.Equal(t, j.Class(at.Add(12*time.Second)), order.TooLate)
	assert.Equal(t, order.Job{}.Class(at), order.InTime)
}

// Jobs rank by what their result is worth for the work that is left: a job that is nearly done
// goes before one that has not begun, even if it will be late, and large jobs rank like small ones.
func TestNearlyDoneGoesFirst(t *testing.T) {
	at := time.Unix(100, 0)
	now := at.Add(2 * time.Second)
	fresh := order.Job{Accepted: at, Deadline: at.Add(9 * time.Second), Remaining: 4 * time.Second, Undone: 1}
	half := order.Job{Accepted: at, Deadline: at.Add(9 * time.Second), Remaining: 2 * time.Second, Undone: 0.5}
	late := order.Job{Accepted: at, Deadline: at.Add(3 * time.Second), Remaining: 2 * time.Second, Undone: 1}
	lateNearlyDone := late
	lateNearlyDone.Undone = 0.1
	before := func(a, b order.Job) bool { return order.RankOf(now, a).Compare(order.RankOf(now, b)) < 0 }
	assert.Assert(t, before(half, fresh))
	assert.Assert(t, before(fresh, late))
	assert.Assert(t, before(lateNearlyDone, fresh))
	urgent := late
	urgent.Priority = -1
	assert.Assert(t, before(urgent, lateNearlyDone), "priority goes before all")
}
