package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"bankledge/decision"
)

type resultRecorder chan string

func (r resultRecorder) AttemptProgressed(decision.AttemptProgress) {}
func (r resultRecorder) HealthCheckEnded(decision.HealthCheckEnded) {}
func (r resultRecorder) AttemptEnded(ended decision.AttemptEnded, result []byte) {
	r <- string(ended.Statement) + " " + string(result)
}

// An answer's second comes behind the next call of the same execution and is taken for its answer: what was asked for is then still to
// come on that connection, and must not become another statement's result.
func TestALateSecondAnswerIsNobodyElses(t *testing.T) {
	const head = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n"
	for name, second := range map[string]string{"no news": head + "\r\n", "a note": head + "X-How: done\r\nX-Num: 0.3\r\n\r\n"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer listener.Close()
			result := func(call *http.Request) string {
				id := call.Header.Get("X-Txn")
				if parts := strings.Split(call.URL.Path, "/"); len(parts) > 2 {
					id = parts[2]
				}
				return "HTTP/1.1 200 OK\r\nX-Batches: 1\r\nContent-Length: 6\r\n\r\nof-" + id + "\n\n"
			}
			go func() {
				for n := 0; ; n++ {
					c, err := listener.Accept()
					if err != nil {
						return
					}
					go func() {
						defer c.Close()
						owed := "" // the answer to the call before
						for r := bufio.NewReader(c); ; {
							call, err := http.ReadRequest(r)
							if err != nil {
								return
							}
							io.Copy(io.Discard, call.Body)
							switch {
							case n == 0 && call.Method == "POST" && owed == "":
								io.WriteString(c, second)
							case n == 0 && owed == "":
								io.WriteString(c, second) // the start's, once more
								owed = result(call)
							case n == 0: // whatever comes next meets what is owed
								io.WriteString(c, owed)
								owed = result(call)
							default:
								io.WriteString(c, result(call))
							}
						}
					}()
				}
			}()
			ended := make(resultRecorder, 2)
			b := New(t.Context(), ended, 4, time.Minute, patience, zap.NewNop())
			b.UpdateEngine("e", listener.Addr().String(), true)
			for _, id := range []decision.StatementID{"A", "B"} {
				b.StartAttempt(AttemptRequest{Statement: id, Engine: "e", Text: []byte("select"), Deadline: time.Now().Add(time.Minute)})
				assert.Equal(t, string(id)+" of-"+string(id)+"\n\n", await(t, ended))
				require.Eventually(t, func() bool { // a connection that was given back has rested
					b.pool.mu.Lock()
					defer b.pool.mu.Unlock()
					return len(b.pool.idle["e"]) == 0 || time.Since(b.pool.idle["e"][0].idleSince) > 2*minRestTime
				}, patience, time.Millisecond)
			}
		})
	}
}

// An engine's word that a statement never ran comes a second time, behind the next start on the same connection. It is not believed of that
// statement, which runs: else it would be sent elsewhere and run twice.
func TestALateSecondNeverRanIsNobodyElses(t *testing.T) {
	const never = "HTTP/1.1 503 Service Unavailable\r\nX-Unrun: 1\r\nContent-Length: 0\r\n\r\n"
	const result = "HTTP/1.1 200 OK\r\nX-Batches: 1\r\nContent-Length: 4\r\n\r\none\n"
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	go func() {
		for first := true; ; first = false {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				for r, n := bufio.NewReader(c), 0; ; n++ {
					call, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					io.Copy(io.Discard, call.Body)
					if first {
						io.WriteString(c, never)
					}
					if !first || n > 0 {
						io.WriteString(c, result)
					}
				}
			}()
		}
	}()
	ended := make(endRecorder, 2)
	b := New(t.Context(), ended, 4, time.Minute, patience, zap.NewNop())
	b.UpdateEngine("e", listener.Addr().String(), true)
	b.StartAttempt(AttemptRequest{Statement: "A", Engine: "e", Text: []byte("select"), Deadline: time.Now().Add(time.Minute)})
	assert.Equal(t, decision.Overloaded, await(t, ended).Outcome)
	require.Eventually(t, func() bool { // a connection that was given back has rested
		b.pool.mu.Lock()
		defer b.pool.mu.Unlock()
		return len(b.pool.idle["e"]) == 0 || time.Since(b.pool.idle["e"][0].idleSince) > 2*minRestTime
	}, patience, time.Millisecond)
	b.StartAttempt(AttemptRequest{Statement: "B", Engine: "e", Text: []byte("update"), Deadline: time.Now().Add(time.Minute)})
	assert.Equal(t, decision.Completed, await(t, ended).Outcome)
}
