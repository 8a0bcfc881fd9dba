package upstream

import (
	"net/http"
	"time"

	"bankledge/decision"
)

const healthCheckPath = "/busy"

// CheckHealth requests an engine's load report in the background and notifies the listener of the outcome. The connect
// timeout limits the total time for connecting and for the response. CheckHealth does nothing after Run has closed the
// client.
func (c *Client) CheckHealth(engine decision.EngineID) {
	c.tasks.start(func() {
		began := time.Now()
		ended := decision.HealthCheckEnded{Engine: engine}
		ended.Outcome, ended.Report = c.sendHealthCheck(engine, began.Add(c.pool.connectTimeout))
		ended.Elapsed = time.Since(began)
		c.listener.HealthCheckEnded(ended)
	})
}

func (c *Client) sendHealthCheck(engine decision.EngineID, deadline time.Time) (decision.Outcome, *decision.LoadReport) {
	conn, err := c.pool.acquire(c.lifetime, engine, c.pool.addressOf(engine), false)
	if err != nil {
		return decision.ConnectFailed, nil
	}
	received, err := conn.roundTrip(deadline, formatRequest(http.MethodGet, healthCheckPath, conn.address, nil))
	if err != nil {
		c.pool.abort(conn)
		if isTimeout(err) {
			return decision.TimedOut, nil
		}
		return decision.ConnectionReset, nil
	}
	c.pool.releaseOrClose(conn, received.Header)
	report := parseLoadReport(received.Field(headerLoadReport))
	if received.Status != http.StatusOK {
		return decision.Errored, report
	}
	return decision.Completed, report
}
