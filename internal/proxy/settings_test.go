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
	"go.uber.org/zap"

	"bankledge/decision"
	"bankledge/internal/fakes"
	"bankledge/internal/settings"
	"bankledge/internal/sqltext"
)

// deployment is a router's settings as a customer has them.
type deployment struct {
	workloads []workloadOf
	groups    []string
	kind      string
	zone      string
	memory    int
	sockets   int
	rest      string // of the settings
}

type workloadOf struct {
	name, effect         string
	slo, timeout, weight int // ms, ms
}

func (d deployment) settings() string {
	var classes, groups []string
	for _, w := range d.workloads {
		classes = append(classes, fmt.Sprintf(`{"name":%q,"idempotency":%q,"objective":%d,"deadline":%d,"gain":%d}`, w.name, w.effect, 1000*w.slo, 1000*w.timeout, w.weight))
	}
	for i, g := range d.groups {
		groups = append(groups, fmt.Sprintf(`{"name":%q,"quotaPerS":%d}`, g, 50*(i+1)))
	}
	return fmt.Sprintf(`{"classes":[%s],"orgs":[%s],"machineTypes":[%q],"zone":%q,"discovery":"pushed",%s}`,
		strings.Join(classes, ","), strings.Join(groups, ","), d.kind, d.zone, d.rest)
}

// Two that differ in every name, count, order, share, effect, time, limit and zone.
var deployments = []deployment{
	{workloads: []workloadOf{{"lookup", "idempotent", 800, 4000, 1}, {"price-load", "at_most_once", 3000, 25000, 10}},
		groups: []string{"central"}, kind: "std", zone: "dc", memory: 96, sockets: 320,
		rest: `"bounds":{"mayCancel":true,"mayProbe":true,"maxAttempts":5,"maxOpen":20000,"connectTimeout":250000,"idleClose":15000000},
			"extra":{"cpuOfKind":[8],"ramOfKindMb":[32000],"threadsByClass":[1,2]},"feedback":{"fields":["concurrent","load_share"],"via":"inline"},
			"guarantees":{"drainGrace":1000000},"tick":5000`},
	{workloads: []workloadOf{{"post", "at_most_once", 700, 3500, 4}, {"glance", "idempotent", 90, 180, 2}, {"month-end", "idempotent", 2500, 12000, 7}},
		groups: []string{"tejo", "minho", "sado"}, kind: "tall", zone: "hall", memory: 48, sockets: 256,
		rest: `"bounds":{"mayCancel":true,"mayProbe":false,"maxAttempts":3,"maxOpen":500,"connectTimeout":900000,"idleClose":4000000},
			"extra":{"cpuOfKind":[14],"ramOfKindMb":[90000],"threadsByClass":[1,1,3]},"feedback":{"fields":["load_share"],"via":"inline"},
			"guarantees":{"drainGrace":300000},"tick":2000`},
}

// bench is one deployment's router, engine and client, which play the script.
type bench struct {
	d      deployment
	e      *fakes.Engine
	conn   net.Conn
	r      *bufio.Reader
	stream uint32
	said   []string
}

func play(t *testing.T, d deployment) *bench {
	e, f := fakes.NewEngine("e", nil), fakes.NewControlFeed()
	t.Cleanup(func() { f.Close(); e.Close() })
	member := fmt.Sprintf(`{"id":"e","host_port":%q,"locality":%q,"flavor":%q,"phase":"active","size":8}`, e.Server.Listener.Addr(), d.zone, d.kind)
	router := run(t, fakes.Config(f.Server.Listener.Addr().String(), d.settings(), d.memory, d.sockets, member))
	conn, err := net.Dial("tcp", router.address)
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	require.NoError(t, conn.SetDeadline(time.Now().Add(patience)))
	return &bench{d: d, e: e, conn: conn, r: bufio.NewReader(conn)}
}

// ask sends one statement and notes its answer and how often it was sent on.
func (b *bench) ask(t *testing.T, workload, group string, script ...fakes.Step) {
	b.stream++
	b.e.Script(map[string][]fakes.Step{"POST": script})
	before := b.e.CallCount("POST")
	fields := map[string]string{"c": workload, "i": fmt.Sprintf("%016x", b.stream), "d": "3000", "t": group, "h": "5", "heap_mb": "8"}
	_, err := b.conn.Write(fakes.Frame(7, b.stream, fakes.Payload(fields, fmt.Sprintf("select a from sales_%d.b where id = 1", b.stream))))
	require.NoError(t, err)
	_, stream, code, body, err := fakes.ReadFrame(b.r)
	require.NoError(t, err)
	b.said = append(b.said, fmt.Sprintf("%s of %s: %d %q on %d, sent on %d times", workload, group, code, body, stream, b.e.CallCount("POST")-before))
}

// script is the same for all: each workload of each group completes, and meets an error; then names that are others'.
func script() (steps []func(t *testing.T, b *bench, other deployment)) {
	for i := range 9 {
		steps = append(steps, func(t *testing.T, b *bench, other deployment) {
			w, g := b.d.workloads[i%len(b.d.workloads)], b.d.groups[i%len(b.d.groups)]
			b.ask(t, w.name, g, fakes.RespondResult(fmt.Sprint("row ", i, "\n")))
			b.ask(t, w.name, g, fakes.Respond(500, ""), fakes.RespondResult("again\n"))
			want := `20 "again\n" on %d, sent on 2 times`
			if w.effect != "idempotent" {
				want = `51 "" on %d, sent on 1 times`
			}
			assert.Contains(t, b.said[len(b.said)-1], fmt.Sprintf(want, b.stream))
			b.ask(t, other.workloads[i%len(other.workloads)].name, g)
			assert.Contains(t, b.said[len(b.said)-1], `50 "field c: unknown workload"`)
			b.ask(t, w.name, other.groups[i%len(other.groups)])
			assert.Contains(t, b.said[len(b.said)-1], `50 "field t: unknown member group"`)
		})
	}
	return steps
}

// The same script under two settings that differ in all, each alone and both beside each other in one process with the same ids
// on the same streams: what is said to each customer is the same, so nothing of one reaches the other.
func TestTwoSettingsInOneProcess(t *testing.T) {
	var alone []*bench
	for i, d := range deployments {
		b := play(t, d)
		for _, step := range script() {
			step(t, b, deployments[1-i])
		}
		alone = append(alone, b)
	}
	both := []*bench{play(t, deployments[0]), play(t, deployments[1])}
	for _, step := range script() {
		for i, b := range both {
			step(t, b, deployments[1-i])
		}
	}
	for i := range both {
		assert.Equal(t, alone[i].said, both[i].said)
	}
	assert.NotEqual(t, alone[0].said, alone[1].said)
}

// How one member group's statements run says nothing of another's.
func TestShapesAreAGroupsOwn(t *testing.T) {
	opening := &settings.ModuleSettings{Workloads: []decision.Workload{{Name: "w", LatencyObjective: time.Second}}}
	g := New(&settings.Config{Limits: settings.ResourceLimits{Cores: 1, MemoryMB: 64, Sockets: 128}, Module: opening}, zap.NewNop())
	shape := func(group decision.Tenant) uint64 {
		built := new(sqltext.Analyser).Analyse([]byte("select a from sales_1.b where id = 1"))
		g.route.look(&statement{built: &built}, &decision.StatementArrived{Tenant: group}, 0)
		return built.Fingerprint
	}
	assert.Equal(t, shape("one"), shape("one"))
	assert.NotEqual(t, shape("one"), shape("other"))
}

// The engines of the configuration are all gone: what the feed tells of instead makes the router ready.
func TestReadyByEnginesThatCameLater(t *testing.T) {
	e, f := fakes.NewEngine("e", nil), fakes.NewControlFeed()
	t.Cleanup(func() { f.Close(); e.Close() })
	r := run(t, fakes.Config(f.Server.Listener.Addr().String(), fakes.Settings, 64, 256, fakes.Member("gone", "127.0.0.1:1", "active")))
	f.Events <- change(2, fakes.Member("gone", "", "left"), at(e, "active"))
	c, err := fakes.Dial(r.address)
	require.NoError(t, err)
	defer c.Close()
	require.NoError(t, c.AwaitReady(patience))
}
