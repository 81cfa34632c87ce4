package load

import (
	"fmt"
	"net/netip"

	"jayloft/core"
	"jayloft/io"
	"jayloft/stand"
)

// vm is a worker with its agent.
type vm struct {
	worker  core.WorkerID
	dc      core.DC
	rack    core.Rack
	slots   int
	entries []netip.AddrPort
	policy  []core.Option

	stand *stand.Worker
	inner *host // of the worker's own interface
	agent *io.AgentServer
	host  *host // of the agent
	lives int
}

// boot starts a new life of the agent.
func (v *vm) boot() error {
	var err error
	if v.host, err = v.host.again(); err != nil {
		return err
	}
	v.lives++
	v.agent = io.NewAgent(core.AgentIdentity{
		Worker: v.worker, DC: v.dc, Rack: v.rack, Addr: v.host.addr(), Entries: v.entries,
		Run: core.Run(fmt.Sprintf("%s-%d", v.worker, v.lives)),
	}, v.inner.addr(), io.WithPolicy(v.policy...))
	v.host.serve(v.agent.Peers())
	v.agent.Start()
	return nil
}

// kill ends the agent as a crash would.
func (v *vm) kill() {
	if v.agent != nil {
		v.agent.Close()
	}
	v.host.kill()
}

// die kills the VM: the worker with all that runs, and the agent.
func (v *vm) die() {
	v.stand.Kill()
	v.kill()
}

// revive boots the VM after die.
func (v *vm) revive() error {
	v.stand.Boot()
	return v.boot()
}
