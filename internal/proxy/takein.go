package proxy

import (
	"time"

	"go.uber.org/zap"

	"bankledge/internal/downstream"
)

// Take in: what clients send comes here from their connections' goroutines, is admitted or answered, and
// goes to the route stage in the order in which it came.

// TakeIn takes a statement that has come whole, and tells whether it was fit.
func (g *Router) HandleStatement(c *downstream.Conn, stream uint32, fields downstream.Fields, text []byte) bool {
	taken := g.origin.Add(g.pulse.arrived(g.now()))
	g.figures.taken.Add(1)
	stmt, arrived, why := g.admit(c, fields, text, taken)
	if why != "" {
		g.figures.unfit.Add(1)
		g.log.Debug("a statement was unfit", zap.String("why", why), zap.Any("fields", fields), zap.Int("bytes", len(text)))
		c.Answer(stream, downstream.CodeRejected, []byte(why))
		return why == noMemory
	}
	stmt.stream = stream
	g.log.Debug("statement taken", zap.String("statement", string(stmt.id)), zap.String("workload", stmt.workload), zap.Uint32("stream", stream),
		zap.Bool("resent", arrived.ClientRetry), zap.Duration("budget", arrived.TimeBudget), zap.Duration("waited", time.Since(taken)))
	g.figures.open.Add(1)
	g.route.post(input{event: arrived, stmt: stmt})
	return true
}

// Left tells that the client waits no longer for these streams.
func (g *Router) HandleCancel(c *downstream.Conn, streams []uint32) {
	for _, stream := range streams {
		g.route.post(input{left: &stmtAt{c, stream}})
	}
}

// Stalled tells that a client takes in too little just now, or that this is over.
func (g *Router) HandleBackpressure(c *downstream.Conn, stalled bool) {
	g.route.post(input{stalled: &stall{c, stalled}})
}

// Release asks for the last answers of what is open on a connection.
func (g *Router) AbortOpenStatements(c *downstream.Conn, why string) {
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
func (g *Router) Ready() bool { return g.reached.Load() && !g.stopping.Load() }

// stmtAt is where a statement came from.
type stmtAt struct {
	client client
	stream uint32
}
