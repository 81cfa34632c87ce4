package work

import "encoding/json"

// QueueSummary summarizes the printers' queues.
type QueueSummary struct {
	Printers int      `json:"printers"`
	Queued   int      `json:"queued"`
	Longest  string   `json:"longest"` // printer with the longest queue
	Idle     []string `json:"idle"`    // printers with an empty queue, to feed next
}

// PrintWatch takes queue lengths such as "p1:4,p2:0" and returns a
// QueueSummary as JSON.
func PrintWatch(input string) (string, error) {
	queues, err := parseCounts("input", input, nil)
	if err != nil {
		return "", err
	}
	w := QueueSummary{Printers: len(queues), Idle: []string{}}
	longest := -1
	for _, q := range queues {
		w.Queued += q.N
		if q.N == 0 {
			w.Idle = append(w.Idle, q.Name)
		}
		if q.N > longest {
			w.Longest, longest = q.Name, q.N
		}
	}
	b, err := json.Marshal(w)
	return string(b), err
}
