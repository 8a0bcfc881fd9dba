package main

import (
	"fmt"
	"net"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bankledge/internal/fakes"
)

const (
	smallMemoryMB     = 32
	memoryTestTime    = 4 * time.Second
	largeStatementLen = 240_000
)

// buildWithoutRaceDetector builds the program as it is deployed, since the race detector multiplies its memory.
func buildWithoutRaceDetector(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "bankledge")
	out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput()
	require.NoError(t, err, string(out))
	return binary
}

// largeStatement returns a frame with a statement of largeStatementLen bytes.
func largeStatement(stream uint32, id int) []byte {
	fields := map[string]string{"c": "lookup", "i": fmt.Sprintf("%016x", id), "d": "5000", "t": "x", "h": "2", "heap_mb": "8"}
	return fakes.Frame(frameStatement, stream, fakes.Payload(fields, "select a from sales_1.b -- "+strings.Repeat("x", largeStatementLen)))
}

// discardAnswers reads from a connection until it ends.
func discardAnswers(conn net.Conn) {
	buffer := make([]byte, 64<<10)
	for {
		if _, err := conn.Read(buffer); err != nil {
			return
		}
	}
}

// sendLargeStatements sends large statements at full speed until the connection ends.
func sendLargeStatements(conn net.Conn, client int) {
	go discardAnswers(conn)
	for stream := uint32(1); ; stream++ {
		if _, err := conn.Write(largeStatement(stream, client<<32+int(stream))); err != nil {
			return
		}
	}
}

// stopInsideStatement sends half of a large statement and then nothing until the connection ends.
func stopInsideStatement(conn net.Conn, client int) {
	statement := largeStatement(1, client)
	conn.Write(statement[:len(statement)/2])
	discardAnswers(conn)
}

// Guards against a process that is killed for its memory: copies of large statements made the heap grow faster than it was collected.
func TestMemoryStaysWithinItsLimit(t *testing.T) {
	binary := buildWithoutRaceDetector(t)
	for _, c := range []struct {
		name    string
		clients int
		act     func(conn net.Conn, client int)
	}{
		{"one client sends large statements at full speed", 1, sendLargeStatements},
		{"hundreds of clients stop inside a large statement", 300, stopInsideStatement},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := fakes.NewSimulatedEngine(64, func(string, string) (time.Duration, int) { return 2 * time.Millisecond, 1 })
			t.Cleanup(e.Close)
			config := routerConfig{feed: newControl(t), settings: fakes.Settings, memoryMB: smallMemoryMB, sockets: 1024,
				members: []string{fakes.Member("e", e.Server.Listener.Addr().String(), "active")}}
			r := startProcess(t, exec.Command(binary, "serve"), config)
			r.awaitReady(t)
			end := time.Now().Add(memoryTestTime)
			var clients sync.WaitGroup
			for client := range c.clients {
				clients.Go(func() {
					for time.Now().Before(end) {
						conn, err := net.Dial("tcp", r.address)
						if err != nil {
							return
						}
						conn.SetDeadline(end)
						c.act(conn, client)
						conn.Close()
					}
				})
			}
			clients.Wait()
			peakKB := peakResidentKB(t, r)
			t.Logf("peak %d kB", peakKB)
			assert.LessOrEqual(t, peakKB, int64(smallMemoryMB<<10))
		})
	}
}
