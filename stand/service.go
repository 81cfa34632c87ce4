package stand

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"jayloft/core"
)

// Service is a kind of request that a worker's endpoint answers.
type Service struct {
	// Time is the mean running time on an idle VM.
	Time time.Duration
	// Spread is the share of Time that varies from request to request,
	// exponentially distributed; in [0, 1].
	Spread float64
	// Noise maps a batch class to how much slower a request gets when tasks
	// of that class take all processors of the VM: 1 doubles its time.
	Noise map[string]float64
	// Answer returns the answer to a request's body. Nil: the body itself.
	Answer func(body []byte) ([]byte, error)
}

func (s Service) answer(body []byte) ([]byte, error) {
	if s.Answer == nil {
		return body, nil
	}
	return s.Answer(body)
}

// Begin starts a request and returns how long it takes, or why it failed at
// once. A request that didn't fail is ended with Finish. The worker sets no limit on requests that run at once.
func (m *Model) Begin(now time.Time, c core.Call) (d time.Duration, reason string) {
	m.Advance(now)
	s, ok := m.services[c.Service]
	switch {
	case !m.Up():
		return 0, "the VM is down"
	case !ok || !m.serves(c.Service):
		return 0, "no such service: " + c.Service
	}
	m.note(now, KindCall, string(c.ID), c.Service)
	if m.failing {
		m.note(now, KindAnswer, string(c.ID), "failed")
		return 0, "the worker fails everything"
	}
	m.calls++
	d = vary(s, c.ID)
	return time.Duration(float64(d) * m.noise(s) * m.slowdown()), ""
}

// Finish ends a request that was begun while the VM had the boot id.
func (m *Model) Finish(now time.Time, id core.RequestID, boot string, whole bool) {
	m.Advance(now)
	if m.boot != boot {
		return
	}
	m.calls--
	kind := KindAnswer
	if !whole {
		kind = KindCut
	}
	m.note(now, kind, string(id), "")
}

func (m *Model) serves(service string) bool {
	for _, s := range m.spec.Services {
		if s == service {
			return true
		}
	}
	return false
}

// noise returns the factor by which the running batch tasks slow down a
// service. It grows with the processors that they use and with the share of
// slots that are busy.
func (m *Model) noise(s Service) float64 {
	if m.spec.Capacity.Millicores <= 0 {
		return 1
	}
	busy := 1.0
	if m.spec.Slots > 0 {
		busy = min(1, float64(m.calls)/float64(m.spec.Slots))
	}
	f := 1.0
	for _, t := range m.tasks {
		share := float64(t.using().Millicores) / float64(m.spec.Capacity.Millicores)
		f += s.Noise[t.order.Class] * share * (1 + busy) / 2
	}
	return f
}

// vary returns the running time of one request on an idle VM. It depends on
// nothing but the request's id.
func vary(s Service, id core.RequestID) time.Duration {
	u := float64(xxhash.Sum64String(string(id))>>11) / (1 << 53) // in [0, 1)
	return time.Duration(float64(s.Time) * (1 - s.Spread - s.Spread*math.Log(1-u)))
}
