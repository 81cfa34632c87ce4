package main

import (
	"os"
	"os/exec"
	"syscall"
	"time"
)

// process is a program of the project that a case has started.
type process struct {
	name string
	args []string
	log  *os.File
	cmd  *exec.Cmd
}

// startProcess starts target/jayloft with arguments. Its output goes to a log file.
func startProcess(name, logPath string, args ...string) (*process, error) {
	f, err := os.Create(logPath)
	if err != nil {
		return nil, err
	}
	p := &process{name: name, args: args, log: f}
	return p, p.start()
}

func (p *process) start() error {
	p.cmd = exec.Command("target/jayloft", p.args...)
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return p.cmd.Start()
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill ends the process at once.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	_ = p.cmd.Wait()
}

// freeze stops the process for a time.
func (p *process) freeze(d time.Duration) {
	p.signal(syscall.SIGSTOP)
	time.Sleep(d)
	p.signal(syscall.SIGCONT)
}

func (p *process) close() {
	p.signal(syscall.SIGCONT)
	p.kill()
	_ = p.log.Close()
}
