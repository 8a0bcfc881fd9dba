package proxy

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bankledge/decision"
	"bankledge/internal/fakes"
	"bankledge/internal/sqltext"
)

// deployment is one customer's settings of a router.
type deployment struct {
	workloads   []declaredWorkload
	tenants     []string
	machineType string
	zone        string
	memory      int
	sockets     int
	otherKeys   string // remaining keys of the settings
}

type declaredWorkload struct {
	name        string
	idempotency string
	sloMS       int
	timeoutMS   int
	weight      int
}

func (d deployment) settings() string {
	var classes, tenants []string
	for _, w := range d.workloads {
		classes = append(classes, fmt.Sprintf(`{"name":%q,"idempotency":%q,"objective":%d,"deadline":%d,"gain":%d}`, w.name, w.idempotency, 1000*w.sloMS, 1000*w.timeoutMS, w.weight))
	}
	for i, tenant := range d.tenants {
		tenants = append(tenants, fmt.Sprintf(`{"name":%q,"quotaPerS":%d}`, tenant, 50*(i+1)))
	}
	return fmt.Sprintf(`{"classes":[%s],"orgs":[%s],"machineTypes":[%q],"zone":%q,"discovery":"pushed",%s}`,
		strings.Join(classes, ","), strings.Join(tenants, ","), d.machineType, d.zone, d.otherKeys)
}

// deployments are two deployments that differ in every name, count, order, share, idempotency, time, limit and zone.
var deployments = []deployment{
	{workloads: []declaredWorkload{{"lookup", "idempotent", 800, 4000, 1}, {"price-load", "at_most_once", 3000, 25000, 10}},
		tenants: []string{"central"}, machineType: "std", zone: "dc", memory: 96, sockets: 320,
		otherKeys: `"bounds":{"mayCancel":true,"mayProbe":true,"maxAttempts":5,"maxOpen":20000,"connectTimeout":250000,"idleClose":15000000},
			"extra":{"cpuOfKind":[8],"ramOfKindMb":[32000],"threadsByClass":[1,2]},"feedback":{"fields":["concurrent","load_share"],"via":"inline"},
			"guarantees":{"drainGrace":1000000},"tick":5000`},
	{workloads: []declaredWorkload{{"post", "at_most_once", 700, 3500, 4}, {"glance", "idempotent", 90, 180, 2}, {"month-end", "idempotent", 2500, 12000, 7}},
		tenants: []string{"tejo", "minho", "sado"}, machineType: "tall", zone: "hall", memory: 48, sockets: 256,
		otherKeys: `"bounds":{"mayCancel":true,"mayProbe":false,"maxAttempts":3,"maxOpen":500,"connectTimeout":900000,"idleClose":4000000},
			"extra":{"cpuOfKind":[14],"ramOfKindMb":[90000],"threadsByClass":[1,1,3]},"feedback":{"fields":["load_share"],"via":"inline"},
			"guarantees":{"drainGrace":300000},"tick":2000`},
}

// scenarioRun is the router, engine and client of one deployment that runs the scenario.
type scenarioRun struct {
	deployment deployment
	engine     *fakes.Engine
	conn       net.Conn
	reader     *bufio.Reader
	stream     uint32
	log        []string // for each request its answer and how often it was forwarded
}

func startScenario(t *testing.T, d deployment) *scenarioRun {
	t.Helper()
	engine := fakes.NewEngine("e", nil)
	feed := fakes.NewControlFeed()
	t.Cleanup(func() {
		feed.Close()
		engine.Close()
	})
	member := fmt.Sprintf(`{"id":"e","host_port":%q,"locality":%q,"flavor":%q,"phase":"active","size":8}`, engine.Server.Listener.Addr(), d.zone, d.machineType)
	router := startRouter(t, fakes.Config(feedAddress(feed), d.settings(), d.memory, d.sockets, member))
	conn, err := net.Dial("tcp", router.address)
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	require.NoError(t, conn.SetDeadline(time.Now().Add(testTimeout)))
	return &scenarioRun{deployment: d, engine: engine, conn: conn, reader: bufio.NewReader(conn)}
}

// request sends one request and records its answer and how often it was forwarded.
func (r *scenarioRun) request(t *testing.T, workload, tenant string, script ...fakes.Step) {
	t.Helper()
	r.stream++
	r.engine.Script(map[string][]fakes.Step{"POST": script})
	before := r.engine.CallCount("POST")
	fields := map[string]string{"c": workload, "i": fmt.Sprintf("%016x", r.stream), "d": "3000", "t": tenant, "h": "5", "heap_mb": "8"}
	_, err := r.conn.Write(fakes.Frame(7, r.stream, fakes.Payload(fields, fmt.Sprintf("select a from sales_%d.b where id = 1", r.stream))))
	require.NoError(t, err)
	answer, err := fakes.ReadFrame(r.reader)
	require.NoError(t, err)
	r.log = append(r.log, fmt.Sprintf("%s of %s: %d %q on %d, forwarded %d times", workload, tenant, answer.Code, answer.Body, answer.Stream, r.engine.CallCount("POST")-before))
}

func (r *scenarioRun) last() string { return r.log[len(r.log)-1] }

const scenarioSteps = 9

// step sends the same kinds of requests for every deployment: one that completes, one whose first attempt fails, and two with a workload
// and a tenant of the other deployment, which are rejected.
func (r *scenarioRun) step(t *testing.T, n int, other deployment) {
	t.Helper()
	workload := r.deployment.workloads[n%len(r.deployment.workloads)]
	tenant := r.deployment.tenants[n%len(r.deployment.tenants)]
	r.request(t, workload.name, tenant, fakes.RespondResult(fmt.Sprint("row ", n, "\n")))
	r.request(t, workload.name, tenant, fakes.Respond(500, ""), fakes.RespondResult("again\n"))
	want := `20 "again\n" on %d, forwarded 2 times`
	if workload.idempotency != "idempotent" {
		want = `51 "" on %d, forwarded 1 times`
	}
	assert.Contains(t, r.last(), fmt.Sprintf(want, r.stream))
	r.request(t, other.workloads[n%len(other.workloads)].name, tenant)
	assert.Contains(t, r.last(), `50 "field c: unknown workload"`)
	r.request(t, workload.name, other.tenants[n%len(other.tenants)])
	assert.Contains(t, r.last(), `50 "field t: unknown member group"`)
}

// Two deployments with different settings run the same scenario: first each alone, then both concurrently in one process, with the same
// ids on the same streams. Each gets the same answers both times, so no state is shared between the routers.
func TestTwoSettingsInOneProcess(t *testing.T) {
	var alone []*scenarioRun
	for i, d := range deployments {
		run := startScenario(t, d)
		for n := range scenarioSteps {
			run.step(t, n, deployments[1-i])
		}
		alone = append(alone, run)
	}
	both := []*scenarioRun{startScenario(t, deployments[0]), startScenario(t, deployments[1])}
	for n := range scenarioSteps {
		for i, run := range both {
			run.step(t, n, deployments[1-i])
		}
	}
	for i := range both {
		assert.Equal(t, alone[i].log, both[i].log)
	}
	assert.NotEqual(t, alone[0].log, alone[1].log)
}

// Two tenants' requests with the same text have different fingerprints, so tenants share no history.
func TestFingerprintsAreNotSharedBetweenTenants(t *testing.T) {
	router := newIdleRouter(decision.Workload{Name: "w", LatencyObjective: time.Second})
	fingerprint := func(tenant decision.Tenant) uint64 {
		analysis := new(sqltext.Analyser).Analyse([]byte("select a from sales_1.b where id = 1"))
		router.loop.classify(&request{analysis: &analysis}, &decision.StatementArrived{Tenant: tenant}, 0)
		return analysis.Fingerprint
	}
	assert.Equal(t, fingerprint("one"), fingerprint("one"))
	assert.NotEqual(t, fingerprint("one"), fingerprint("other"))
}
