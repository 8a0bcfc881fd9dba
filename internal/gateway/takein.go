package gateway

import (
	"time"

	"go.uber.org/zap"

	"bankledge/internal/front"
)

// Take in: what clients send comes here from their connections' goroutines, is admitted or answered, and
// goes to the route stage in the order in which it came.

// TakeIn takes a statement that has come whole, and tells whether it was fit.
func (g *Gateway) TakeIn(c *front.Conn, stream uint32, fields front.Fields, text []byte) bool {
	taken := g.origin.Add(g.pulse.arrived(g.now()))
	g.figures.taken.Add(1)
	stmt, arrived, why := g.admit(c, fields, text, taken)
	if why != "" {
		g.figures.unfit.Add(1)
		g.log.Debug("a statement was unfit", zap.String("why", why), zap.Any("fields", fields), zap.Int("bytes", len(text)))
		c.Answer(stream, front.CodeRejected, []byte(why))
		return why == noMemory
	}
	stmt.stream = stream
	g.log.Debug("statement taken", zap.String("statement", string(stmt.id)), zap.String("workload", stmt.workload), zap.Uint32("stream", stream),
		zap.Bool("resent", arrived.Resent), zap.Duration("budget", arrived.TimeBudget), zap.Duration("waited", time.Since(taken)))
	g.figures.open.Add(1)
	g.route.post(input{event: arrived, stmt: stmt})
	return true
}

// Left tells that the client waits no longer for these streams.
func (g *Gateway) Left(c *front.Conn, streams []uint32) {
	for _, stream := range streams {
		g.route.post(input{left: &stmtAt{c, stream}})
	}
}

// Stalled tells that a client takes in too little just now, or that this is over.
func (g *Gateway) Stalled(c *front.Conn, stalled bool) {
	g.route.post(input{stalled: &stall{c, stalled}})
}

// Release asks for the last answers of what is open on a connection.
func (g *Gateway) Release(c *front.Conn, why string) {
	g.route.post(input{release: &release{c, why}})
}

// stall is a client that stops or begins again to take its answers in; release is one that is given up.
type (
	stall struct {
		client client
		on     bool
	}
	release struct {
		client client
		why    string
	}
)

// Ready tells whether the router may be sent statements.
func (g *Gateway) Ready() bool { return g.reached.Load() && !g.stopping.Load() }

// stmtAt is where a statement came from.
type stmtAt struct {
	client client
	stream uint32
}
