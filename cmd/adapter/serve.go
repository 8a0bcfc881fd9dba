package main

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"bankledge/internal/simwire"
)

// bufferSize in bytes, of input and output: lines can be megabytes.
const bufferSize = 1 << 20

// serve answers each batch until the input ends. The last line may lack its end.
func serve(in io.Reader, out io.Writer) error {
	reader := bufio.NewReaderSize(in, bufferSize)
	writer := bufio.NewWriterSize(out, bufferSize)
	decoder := simwire.NewDecoder()
	modules := instances{}
	for {
		line, err := reader.ReadBytes('\n')
		if err != nil && !errors.Is(err, io.EOF) {
			return err
		}
		last := err != nil
		if last && len(bytes.TrimSpace(line)) == 0 {
			return nil
		}
		reply, err := answer(decoder, modules, line)
		if err != nil {
			return err
		}
		if _, err := writer.Write(reply); err != nil {
			return err
		}
		if err := writer.Flush(); err != nil {
			return err
		}
		if last {
			return nil
		}
	}
}

// answer returns the reply to one line.
func answer(decoder *simwire.Decoder, modules instances, line []byte) ([]byte, error) {
	batch, err := decoder.DecodeBatch(line)
	if err != nil {
		return nil, err
	}
	answers := make([]simwire.InstanceActions, 0, len(batch.Instances))
	for _, inputs := range batch.Instances {
		answers = append(answers, simwire.InstanceActions{
			Instance: inputs.Instance,
			Actions:  modules.handle(batch.Now, inputs),
		})
	}
	return simwire.EncodeReply(answers)
}
