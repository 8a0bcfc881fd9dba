package main

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"bankledge/internal/simwire"
)

// bufferSize is the size in bytes of the input and output buffers. A line can be several megabytes long.
const bufferSize = 1 << 20

// serve replies to each batch until the input ends. The last line may lack its line feed.
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
		reply, err := handleBatch(decoder, modules, line)
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

// handleBatch decodes the batch of one line, passes it to the instances and returns the encoded reply.
func handleBatch(decoder *simwire.Decoder, modules instances, line []byte) ([]byte, error) {
	batch, err := decoder.DecodeBatch(line)
	if err != nil {
		return nil, err
	}
	results := make([]simwire.InstanceActions, 0, len(batch.Instances))
	for _, inputs := range batch.Instances {
		results = append(results, simwire.InstanceActions{
			Instance: inputs.Instance,
			Actions:  modules.handle(batch.Now, inputs),
		})
	}
	return simwire.EncodeReply(results)
}
