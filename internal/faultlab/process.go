package faultlab

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"time"

	"bankledge/internal/logevent"
)

// startTimeout is the longest time that a process may take from its start until it serves.
const startTimeout = 15 * time.Second

// Causes of a StartError.
var (
	errExited     = errors.New("exited before it was serving")
	errNotServing = fmt.Errorf("not serving within %v", startTimeout)
)

// StartError reports that a process failed to start.
type StartError struct {
	Process string
	LogFile string
	Err     error
}

// Error names the process, the cause and the log file.
func (e *StartError) Error() string {
	return fmt.Sprintf("%s: %v (log file %s)", e.Process, e.Err, e.LogFile)
}

// Unwrap returns the cause.
func (e *StartError) Unwrap() error { return e.Err }

// process is one process of a program under test. It logs to standard error.
type process struct {
	name    string
	logFile string
	cmd     *exec.Cmd
	serving chan string   // receives the listen address from the log, once
	ended   chan struct{} // closed after the process has ended and its log is written
}

// startProcess starts a command and copies its log to a file. It calls onLine with each line of the log, before it checks
// whether the line reports that the process serves. The line is valid only during the call.
func startProcess(name string, cmd *exec.Cmd, logFile string, onLine func([]byte)) (*process, error) {
	log, err := os.Create(logFile)
	if err != nil {
		return nil, err
	}
	pipe, err := cmd.StderrPipe()
	if err != nil {
		log.Close()
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		log.Close()
		return nil, err
	}
	p := &process{
		name:    name,
		logFile: logFile,
		cmd:     cmd,
		serving: make(chan string, 1),
		ended:   make(chan struct{}),
	}
	go func() {
		defer close(p.ended)
		defer log.Close()
		lines := bufio.NewScanner(pipe)
		for lines.Scan() {
			log.Write(append(lines.Bytes(), '\n'))
			onLine(lines.Bytes())
			p.detectServing(lines.Bytes())
		}
		cmd.Wait()
	}()
	return p, nil
}

// detectServing sends the listen address of the first log line that reports that the process serves.
func (p *process) detectServing(line []byte) {
	var event struct{ Msg, Listen string }
	if json.Unmarshal(line, &event) != nil || event.Msg != logevent.Serving {
		return
	}
	select {
	case p.serving <- event.Listen:
	default: // already sent
	}
}

// awaitServing waits until the process serves, and returns its listen address, which is empty if the log line has none.
// The error is a *StartError or the context's error.
func (p *process) awaitServing(ctx context.Context) (string, error) {
	select {
	case address := <-p.serving:
		return address, nil
	case <-p.ended:
		return "", &StartError{Process: p.name, LogFile: p.logFile, Err: errExited}
	case <-time.After(startTimeout):
		return "", &StartError{Process: p.name, LogFile: p.logFile, Err: errNotServing}
	case <-ctx.Done():
		return "", ctx.Err()
	}
}

// signal sends a signal. It returns nil if the process has already ended.
func (p *process) signal(s os.Signal) error {
	err := p.cmd.Process.Signal(s)
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return err
}

// kill kills the process and waits until it has ended.
func (p *process) kill() error {
	err := p.signal(os.Kill)
	<-p.ended
	return err
}
