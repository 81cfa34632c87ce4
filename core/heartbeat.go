package core

import (
	"net/netip"
	"time"

	"jayloft/table"
)

// Heartbeat is an agent's report of the state of its VM.
type Heartbeat struct {
	Worker      WorkerID
	Inc         Incarnation
	Run         Run
	Addr        netip.AddrPort
	DC          DC
	Rack        Rack
	Sent        time.Time // on the agent's clock
	Capacity    Size
	Committed   Size
	Preemptible Size // part of Committed that urgent tasks may preempt
	Used        Size // measured; lags behind
	Slots       int
	Services    []ServiceLoad
	ClassLoads  []ClassLoad // running batch tasks, by class
	Running     []Attempt
	Ends        []End
	Config      uint64 // table version of the configuration in force at the agent
	Leaving     bool
	LeaseLapsed bool // the agent holds no valid lease to start tasks under
	Unsettled   bool // calls to the worker may take effect late
	// Unheard lists the homes that have not answered the agent's heartbeats for some time.
	Unheard       []netip.AddrPort
	Isolated      JobID    // the job whose tasks run here apart from others; empty if there is none
	Labels        []string // of the worker
	TargetedTasks int      // number of tasks with a tail-latency target
	LongRunning   int64    // millicores declared by long-running tasks
	TailLatencies []ImageTailLatency
	BestEffort    []BestEffortLoad
	Window        uint64    // number of the window that TailLatencies and BestEffort cover
	Slowed        []Attempt // best-effort tasks throttled so far that they make little progress
	Launching     []Attempt // those of Running that the worker has not confirmed to have started
	// Dead lists earlier incarnations that the agent confirms to be dead, as asked
	// by HeartbeatAnswer.Prior.
	Dead []Incarnation
}

// ServiceLoad is the load of one service on a VM's endpoint.
type ServiceLoad struct {
	Service string
	Running int
	Queued  int
	// Mean is the recent mean service time; zero if no request was served.
	Mean time.Duration
}

// ClassLoad is the number of running batch tasks of one class on a VM.
type ClassLoad struct {
	Class   string
	Running int
}

// ImageTailLatency summarises the tail latencies of a VM's long-running tasks of
// one image in the last window.
type ImageTailLatency struct {
	Image       string
	Worst       float64 // the largest, as a fraction of its target
	Utilization float64 // the mean over Tasks, estimated from the tail latencies; see package interf
	Tasks       int     // number of tasks measured
}

// BestEffortLoad is the CPU, in millicores, that a VM's best-effort tasks of one
// image may use at their present throttling, weighted by how much of it they do
// use (see package interf). It is smoothed over the windows that the tail latencies
// cover.
type BestEffortLoad struct {
	Image      string
	Millicores int64
}

// ImageInterference is the interference of best-effort tasks of one image with
// long-running tasks of another, see package interf.
type ImageInterference struct {
	LongRunning, BestEffort string
	Interference            float64
}

// Throttle sets the speed of a task that interferes with a service.
type Throttle struct {
	Attempt Attempt
	Percent int // of full speed
}

// HeartbeatAnswer is an entry's answer to a heartbeat.
type HeartbeatAnswer struct {
	// Echo is the latest Heartbeat.Sent of this incarnation that the entry had
	// received before it began its last successful read of the table. Zero if
	// there is none. Leases and permits count from it.
	Echo      time.Time
	Fenced    bool
	Config    uint64
	Rows      []table.Row      // changed configuration
	Full      bool             // Rows is the whole configuration
	Recorded  []Attempt        // attempts whose ends the table holds
	Moved     []Attempt        // attempts that no longer hold the claim of their task
	Entries   []netip.AddrPort // the home entries, to send heartbeats to; empty if unknown
	Throttles []Throttle
	// Interference holds the estimates for the VM's pairs of long-running and
	// best-effort images.
	Interference []ImageInterference
	// Checkpoint is the interval between a task's checkpoints; zero leaves it
	// unchanged.
	Checkpoint time.Duration
	// Prior is another incarnation of the same worker that the entry knows of. If
	// it is dead, the agent confirms that in its next heartbeat.
	Prior Incarnation
}
