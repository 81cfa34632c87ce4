package main

import (
	"os"
	"os/exec"
	"syscall"
)

const binary = "target/jayloft"

// process is a process of the project, across its restarts.
type process struct {
	site *site
	node string
	args []string
	log  *os.File
	cmd  *exec.Cmd
}

// start starts the process.
func (p *process) start() error {
	cmd := exec.Command(binary, p.args...)
	cmd.Stdout, cmd.Stderr = p.log, p.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	p.site.spawner <- func() { started <- cmd.Start() }
	if err := <-started; err != nil {
		return err
	}
	p.cmd = cmd
	p.site.rec.add("process %s started", p.node)
	return nil
}

// kill kills the process, if it runs.
func (p *process) kill() {
	if p.cmd == nil {
		return
	}
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Wait()
	p.cmd = nil
	p.site.rec.add("process %s killed", p.node)
}
