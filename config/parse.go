package config

import (
	"path/filepath"
	"time"

	"github.com/pelletier/go-toml/v2/unstable"

	"jayloft/core"
)

// Defaults of optional settings.
const (
	defaultEntryGrace = 20 * time.Second
	defaultAgentGrace = 60 * time.Second
	defaultSlots      = 8
)

const (
	bytesPerMB = 1_000_000
	// minMemoryMB is the least memory that a process can do with, in MB.
	minMemoryMB = 64
)

// Upper limits of settings. A larger value is taken for a mistake.
const (
	maxGrace        = time.Hour
	maxMillicores   = 4096 * 1000
	maxMemoryMB     = 64 * 1_000_000
	maxAccelerators = 1024
	maxSlots        = 1024
	maxSeed         = 1<<63 - 1
)

// Parse parses the content of a settings file. Findings report the path, and
// relative paths in the settings are resolved against its directory. The error
// is a Findings.
func Parse(path string, b []byte) (File, error) {
	f := File{Policy: core.DefaultPolicy(), Log: Log{Level: "info", Format: "text"}}
	r := &reader{tree: parseTree(path, b)}
	r.checkSingleProcess()
	r.readTable(r.root, "the file",
		field{"entry", false, func(r *reader, n *node) { f.Entry = r.entry(n) }},
		field{"agent", false, func(r *reader, n *node) { f.Agent = r.agent(n) }},
		field{"stand", false, func(r *reader, n *node) { f.Stand = r.stand(n) }},
		field{"platform", false, func(r *reader, n *node) { f.Platform = r.platform(n) }},
		field{"log", false, func(r *reader, n *node) { r.log(n, &f.Log) }},
		field{"policy", false, func(r *reader, n *node) { r.policy(n, &f.Policy) }},
	)
	r.checkAddrConflicts()
	if err := r.findings.Err(); err != nil {
		return File{}, err
	}
	return f, nil
}

// checkSingleProcess requires that the file configures exactly one process.
func (r *reader) checkSingleProcess() {
	var first string
	for _, p := range r.root.pairs {
		if p.key != "entry" && p.key != "agent" && p.key != "stand" {
			continue
		}
		if first != "" {
			r.reportf(p.offset, "the file already has [%s]; use a separate file for each process", first)
			continue
		}
		first = p.key
	}
	if first == "" && !r.syntaxError {
		r.report(0, "the file has no table [entry], [agent] or [stand]")
	}
}

func (r *reader) entry(t *node) *Entry {
	e := &Entry{Grace: defaultEntryGrace}
	var mb int64
	own := r.root.get("platform") == nil
	r.readTable(t, "[entry]",
		field{"name", true, name(&e.Name)},
		field{"callers", own, address(&e.Callers, "callers", listen)},
		field{"peers", true, address(&e.Peers, "peers", advertise)},
		field{"metrics", false, address(&e.Metrics, "metrics", listen)},
		field{"table", own, address(&e.Table, "table", dial)},
		field{"objects", false, address(&e.Objects, "objects", dial)},
		field{"grace", false, duration(&e.Grace, 0, maxGrace)},
		field{"dc", false, name(&e.DC)},
		field{"cores", false, cores(&e.Millicores, 1, maxMillicores)},
		field{"memory", false, memory(&mb, minMemoryMB, maxMemoryMB)},
	)
	e.Memory = mb * bytesPerMB
	if !e.Objects.IsValid() {
		e.Objects = e.Table
	}
	return e
}

func (r *reader) agent(t *node) *Agent {
	a := &Agent{Grace: defaultAgentGrace}
	var mb int64
	own := r.root.get("platform") == nil
	r.readTable(t, "[agent]",
		field{"worker", true, name(&a.Worker)},
		field{"dc", true, name(&a.DC)},
		field{"rack", own, name(&a.Rack)},
		field{"addr", true, address(&a.Addr, "addr", advertise)},
		field{"entries", own, addresses(&a.Entries, "entries", dial)},
		field{"vm", own, address(&a.VM, "vm", dial)},
		field{"metrics", false, address(&a.Metrics, "metrics", listen)},
		field{"grace", false, duration(&a.Grace, 0, maxGrace)},
		field{"memory", false, memory(&mb, minMemoryMB, maxMemoryMB)},
	)
	a.Memory = mb * bytesPerMB
	return a
}

// platform reads [platform]. An entry requires front and ready, an agent beats
// and worker.
func (r *reader) platform(t *node) *Platform {
	p := &Platform{}
	entry, agent := r.root.get("entry") != nil, r.root.get("agent") != nil
	r.readTable(t, "[platform]",
		field{"store", true, address(&p.Store, "store", dial)},
		field{"front", entry, address(&p.Front, "front", listen)},
		field{"ready", entry, address(&p.Ready, "ready", listen)},
		field{"beats", agent, address(&p.Heartbeats, "beats", listen)},
		field{"worker", agent, address(&p.Worker, "worker", dial)},
		field{"dcs", true, names(&p.DCs)},
	)
	return p
}

func (r *reader) stand(t *node) *Stand {
	s := &Stand{}
	r.readTable(t, "[stand]",
		field{"platform", false, address(&s.Platform, "platform", listen)},
		field{"objects", false, address(&s.Objects, "objects", dial)},
		field{"seed", false, integer(&s.Seed, 0, maxSeed)},
		field{"slips", false, nonEmpty(&s.Slips)},
		field{"workers", false, func(r *reader, n *node) { s.Workers = r.workers(n) }},
	)
	if !s.Objects.IsValid() {
		s.Objects = s.Platform
	}
	if s.Slips != "" && !filepath.IsAbs(s.Slips) {
		s.Slips = filepath.Join(filepath.Dir(r.file), s.Slips)
	}
	if !s.Platform.IsValid() && len(s.Workers) == 0 && len(r.findings) == 0 {
		r.report(t.offset, "[stand] needs platform or workers")
	}
	return s
}

func (r *reader) workers(n *node) []Worker {
	if !r.checkKind(n, unstable.Array, "[[stand.workers]]") {
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
		line, _ := position(r.data, item.offset)
		if first, ok := lines[w.Name]; ok {
			r.reportf(item.offset, "worker %q is listed twice, first on line %d", w.Name, first)
			continue
		}
		lines[w.Name] = line
	}
	return ws
}

func (r *reader) worker(t *node) Worker {
	w := Worker{Slots: defaultSlots}
	r.readTable(t, "[[stand.workers]]",
		field{"name", true, name(&w.Name)},
		field{"dc", true, name(&w.DC)},
		field{"rack", true, name(&w.Rack)},
		field{"addr", true, address(&w.Addr, "addr", listen)},
		field{"cores", true, cores(&w.Size.Millicores, 1, maxMillicores)},
		field{"memory", true, memory(&w.Size.MemoryMB, 1, maxMemoryMB)},
		field{"accelerators", false, integer(&w.Size.Accelerators, 0, maxAccelerators)},
		field{"slots", false, integer(&w.Slots, 1, maxSlots)},
		field{"services", false, names(&w.Services)},
	)
	return w
}

func (r *reader) log(t *node, l *Log) {
	r.readTable(t, "[log]",
		field{"level", false, oneOf(&l.Level, "debug", "info", "warn", "error")},
		field{"format", false, oneOf(&l.Format, "text", "json")},
	)
}
