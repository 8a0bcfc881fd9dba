// The adapter hosts independent instances of the decision module on the bench's wire: batches
// on standard input, a reply a line on standard output. It decides nothing.
package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"time"

	"bankledge/decision"
	"bankledge/internal/simwire"
	"bankledge/policy"
)

const bufferSize = 1 << 20 // lines can be megabytes

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}

// serve answers each batch until the input ends.
func serve(in io.Reader, out io.Writer) error {
	reader := bufio.NewReaderSize(in, bufferSize)
	writer := bufio.NewWriterSize(out, bufferSize)
	decoder := simwire.NewDecoder()
	instances := map[int]*policy.Module{}
	for {
		line, err := reader.ReadBytes('\n')
		if err != nil && !errors.Is(err, io.EOF) {
			return err
		}
		ended := err != nil
		if len(bytes.TrimSpace(line)) == 0 && ended {
			return nil
		}
		batch, err := decoder.DecodeBatch(line)
		if err != nil {
			return err
		}
		answers := make([]simwire.InstanceActions, 0, len(batch.Instances))
		for _, g := range batch.Instances {
			answer := simwire.InstanceActions{Instance: g.Instance}
			answer.Actions = handle(instances, g, batch.Now)
			answers = append(answers, answer)
		}
		reply, err := simwire.EncodeReply(answers)
		if err != nil {
			return err
		}
		if _, err := writer.Write(reply); err != nil {
			return err
		}
		if err := writer.Flush(); err != nil {
			return err
		}
		if ended {
			return nil
		}
	}
}

// handle gives one instance its part of a batch; a panic in the module becomes a Crash.
func handle(instances map[int]*policy.Module, g simwire.InstanceInputs, now time.Duration) (out []decision.Action) {
	defer func() {
		if p := recover(); p != nil {
			out = append(out, decision.Crash{Text: fmt.Sprintf("%v\n%s", p, debug.Stack())})
		}
	}()
	var events []decision.Event
	flush := func() {
		if m := instances[g.Instance]; m != nil && len(events) > 0 {
			out = append(out, m.Handle(now, events)...)
		}
		events = nil
	}
	for _, input := range g.Inputs {
		switch {
		case input.Settings != nil:
			flush()
			o := input.Settings
			instances[g.Instance] = policy.New(o.Identity, o.Workloads, o.Engines, o.Quotas, o.Limits,
				o.Rules, o.LoadReports)
		case input.Stop:
			flush()
			delete(instances, g.Instance)
			out = nil // what a killed instance did in this batch is void
		default:
			events = append(events, input.Event)
		}
	}
	flush()
	return out
}
