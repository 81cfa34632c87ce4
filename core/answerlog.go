package core

import "time"

// answerLog remembers answers until they expire. The zero value is empty.
type answerLog[A any] struct {
	answers map[string]A
	expiry  []answerExpiry // oldest first
}

type answerExpiry struct {
	key   string
	until time.Time
}

// put stores an answer until a time. All answers of a log must have the same
// retention: expired ones, and those in excess of maxAnswers, are removed oldest
// first.
func (l *answerLog[A]) put(key string, ans A, now, until time.Time) {
	if l.answers == nil {
		l.answers = map[string]A{}
	}
	if _, ok := l.answers[key]; !ok {
		l.expiry = append(l.expiry, answerExpiry{key, until})
	}
	l.answers[key] = ans
	for len(l.expiry) > 0 && (len(l.expiry) > maxAnswers || l.expiry[0].until.Before(now)) {
		delete(l.answers, l.expiry[0].key)
		l.expiry = l.expiry[1:]
	}
}
