package main

import "time"

const (
	darkTime  = 5 * time.Second // for which a killed process is away
	upTime    = 150 * time.Millisecond
	darkTimes = 2
	longTime  = 5 * time.Second // for which the task has run before
	watchTime = 40 * time.Second
)

// lateTimes is how late the first extensions of the lease are carried out.
var lateTimes = []time.Duration{3500 * time.Millisecond, 7500 * time.Millisecond}

// playLate runs a long task. Its worker carries out two calls late, and the daemon beside it is
// killed meanwhile, and once more as it is back.
func playLate(s *site, trouble bool) bool {
	j := &job{id: newID(), spec: "work=80000", count: 1, cpu: 500}
	if !s.requester.submit(j) {
		s.rec.say("the job was not accepted")
		return false
	}
	time.Sleep(longTime)
	id := s.book.worker(j.id)
	for i, w := range s.workers {
		if w.id != id || !trouble {
			continue
		}
		killed := make(chan struct{})
		w.beLate(func() { s.agents[i].kill(); close(killed) }, lateTimes...)
		<-killed
		go s.keepDark(s.agents[i])
	}
	for end := time.Now().Add(watchTime); time.Now().Before(end) && s.book.runsTwice() == 0; {
		time.Sleep(50 * time.Millisecond)
	}
	return s.book.runsTwice() > 0
}

// keepDark starts a process that was killed when its time is over, and kills it again until that
// has happened darkTimes in all. Then it is left alone.
func (s *site) keepDark(p *process) {
	for range darkTimes - 1 {
		time.Sleep(darkTime)
		if p.start() != nil {
			return
		}
		time.Sleep(upTime)
		p.kill()
	}
	time.Sleep(darkTime)
	_ = p.start()
}
