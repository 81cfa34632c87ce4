package config

import (
	"path/filepath"
	"time"

	"github.com/pelletier/go-toml/v2/unstable"

	"jayloft/core"
)

// Settings that a file need not give.
const (
	entryGrace = 20 * time.Second
	agentGrace = 60 * time.Second
	slots      = 8
)

// The largest settings that are taken for meant.
const (
	maxGrace        = time.Hour
	maxMillicores   = 4096 * 1000
	maxMemoryMB     = 64 * 1_000_000
	maxAccelerators = 1024
	maxSlots        = 1024
	maxSeed         = 1<<63 - 1
)

// Parse reads settings from a file's content; the path is for findings and
// for the files that the settings name. Its error is a Findings.
func Parse(path string, b []byte) (File, error) {
	f := File{Policy: core.DefaultPolicy(), Log: Log{Level: "info", Format: "text"}}
	r := &reader{tree: parseTree(path, b)}
	r.processes()
	r.fields(r.root, "the file",
		field{"entry", false, func(r *reader, n *node) { f.Entry = r.entry(n) }},
		field{"agent", false, func(r *reader, n *node) { f.Agent = r.agent(n) }},
		field{"stand", false, func(r *reader, n *node) { f.Stand = r.stand(n) }},
		field{"platform", false, func(r *reader, n *node) { f.Platform = r.platform(n) }},
		field{"log", false, func(r *reader, n *node) { r.log(n, &f.Log) }},
		field{"policy", false, func(r *reader, n *node) { r.policy(n, &f.Policy) }},
	)
	r.clashes()
	if err := r.found.Err(); err != nil {
		return File{}, err
	}
	return f, nil
}

// processes requires that the file is for one process.
func (r *reader) processes() {
	var first string
	for _, p := range r.root.pairs {
		if p.key != "entry" && p.key != "agent" && p.key != "stand" {
			continue
		}
		if first != "" {
			r.findf(p.at, "the file has [%s] already; write one file for each process", first)
			continue
		}
		first = p.key
	}
	if first == "" && !r.broken {
		r.find(0, "the file has none of [entry], [agent] and [stand]")
	}
}

func (r *reader) entry(t *node) *Entry {
	e := &Entry{Grace: entryGrace}
	own := r.root.get("platform") == nil
	r.fields(t, "[entry]",
		field{"name", true, name(&e.Name)},
		field{"callers", own, address(&e.Callers, "callers", listens)},
		field{"peers", true, address(&e.Peers, "peers", announces)},
		field{"metrics", false, address(&e.Metrics, "metrics", listens)},
		field{"table", own, address(&e.Table, "table", calls)},
		field{"objects", false, address(&e.Objects, "objects", calls)},
		field{"grace", false, length(&e.Grace, 0, maxGrace)},
	)
	if !e.Objects.IsValid() {
		e.Objects = e.Table
	}
	return e
}

func (r *reader) agent(t *node) *Agent {
	a := &Agent{Grace: agentGrace}
	own := r.root.get("platform") == nil
	r.fields(t, "[agent]",
		field{"worker", true, name(&a.Worker)},
		field{"dc", true, name(&a.DC)},
		field{"rack", own, name(&a.Rack)},
		field{"addr", true, address(&a.Addr, "addr", announces)},
		field{"entries", own, addresses(&a.Entries, "entries", calls)},
		field{"vm", own, address(&a.VM, "vm", calls)},
		field{"metrics", false, address(&a.Metrics, "metrics", listens)},
		field{"grace", false, length(&a.Grace, 0, maxGrace)},
	)
	return a
}

// platform reads [platform]. An entry needs the addresses that it serves there,
// an agent those of its worker.
func (r *reader) platform(t *node) *Platform {
	p := &Platform{}
	entry, agent := r.root.get("entry") != nil, r.root.get("agent") != nil
	r.fields(t, "[platform]",
		field{"store", true, address(&p.Store, "store", calls)},
		field{"front", entry, address(&p.Front, "front", listens)},
		field{"ready", entry, address(&p.Ready, "ready", listens)},
		field{"beats", agent, address(&p.Heartbeats, "beats", listens)},
		field{"worker", agent, address(&p.Worker, "worker", calls)},
		field{"dcs", true, names(&p.DCs)},
	)
	return p
}

func (r *reader) stand(t *node) *Stand {
	s := &Stand{}
	r.fields(t, "[stand]",
		field{"platform", false, address(&s.Platform, "platform", listens)},
		field{"objects", false, address(&s.Objects, "objects", calls)},
		field{"seed", false, integer(&s.Seed, 0, maxSeed)},
		field{"slips", false, text(&s.Slips)},
		field{"workers", false, func(r *reader, n *node) { s.Workers = r.workers(n) }},
	)
	if !s.Objects.IsValid() {
		s.Objects = s.Platform
	}
	if s.Slips != "" && !filepath.IsAbs(s.Slips) {
		s.Slips = filepath.Join(filepath.Dir(r.file), s.Slips)
	}
	if !s.Platform.IsValid() && len(s.Workers) == 0 && len(r.found) == 0 {
		r.find(t.at, "[stand] needs platform or workers")
	}
	return s
}

func (r *reader) workers(n *node) []Worker {
	if !r.is(n, unstable.Array, "[[stand.workers]]") {
		return nil
	}
	var ws []Worker
	lines := map[core.WorkerID]int{}
	for _, item := range n.items {
		w := r.worker(item)
		ws = append(ws, w)
		if w.Name == "" {
			continue
		}
		line, _ := position(r.data, item.at)
		if first, ok := lines[w.Name]; ok {
			r.findf(item.at, "worker %q is listed twice, first on line %d", w.Name, first)
			continue
		}
		lines[w.Name] = line
	}
	return ws
}

func (r *reader) worker(t *node) Worker {
	w := Worker{Slots: slots}
	r.fields(t, "[[stand.workers]]",
		field{"name", true, name(&w.Name)},
		field{"dc", true, name(&w.DC)},
		field{"rack", true, name(&w.Rack)},
		field{"addr", true, address(&w.Addr, "addr", listens)},
		field{"cores", true, cores(&w.Size.Millicores, 1, maxMillicores)},
		field{"memory", true, memory(&w.Size.MemoryMB, 1, maxMemoryMB)},
		field{"accelerators", false, integer(&w.Size.Accelerators, 0, maxAccelerators)},
		field{"slots", false, integer(&w.Slots, 1, maxSlots)},
		field{"services", false, names(&w.Services)},
	)
	return w
}

func (r *reader) log(t *node, l *Log) {
	r.fields(t, "[log]",
		field{"level", false, oneOf(&l.Level, "debug", "info", "warn", "error")},
		field{"format", false, oneOf(&l.Format, "text", "json")},
	)
}
