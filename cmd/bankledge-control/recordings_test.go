package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bankledge/internal/controlapi"
)

// startSingle starts a group of one process. Its lease duration of two seconds is long enough for all exchanges that need a valid lease.
func startSingle(t *testing.T, g *testGroup, recording *transcript) (client, peer string) {
	client = g.members["1"].Client
	peer = g.members["1"].Peer
	recording.addresses[client] = "<client>"
	recording.addresses[peer] = "<peer>"
	g.startWithSettings(1, fmt.Sprintf(`{id: 1, dir: 'd1', peer: %q, client: %q, most_gone: 0.5, term_ms: 2000, heartbeat_ms: 20, election_ms: 100}`, peer, client))
	require.Eventually(t, func() bool {
		conn, err := net.Dial("tcp", client)
		if err != nil {
			return false
		}
		conn.Close()
		_, body := recording.exchange(client, "GET /v1/status", "", "")
		return strings.Contains(body, `"leads":true`) && !strings.Contains(body, `"lineage":""`)
	}, statusTimeout, pollInterval)
	return client, peer
}

const twoEngines = `"engines":{"a":{"phase":"active","address":"h:1","kind":"big"},"b":{"phase":"active","address":"h:2"}}`

func proposal(id, more string) string {
	return fmt.Sprintf(`{"kind":"propose","id":%q,"rules":{"routers":2,"cold_multiple":2%s}}`, id, more)
}

// Compares the exchanges of a router and an operator with a process, including paths, statuses, headers, fields and error texts, with the
// recording. Each part depends on the parts before it.
func TestClientTranscript(t *testing.T) {
	g, recording := newTestGroup(t, 1), newTranscript(t)
	client, _ := startSingle(t, g, recording)
	hash := recordRollout(t, recording, client)
	recordStreams(recording, client)
	recordRejectedRenewals(recording, client, hash)
	recordRejectedProposals(recording, client)
	recordRejectedRules(recording, client)
	recording.recordExchange(client, "POST /v1/proposals", `{"kind":"propose","id":"p3","forced":["floor","share-of-engines"],"note":"why","rules":{"routers":2,"cold_multiple":1,"engines":{"a":{"phase":"active","address":"h:1","kind":"big"}}}}`)
	recordMembershipChanges(t, recording, client)
	for _, request := range []string{
		"GET /v1/none", "GET /", "DELETE /v1/status", "GET /v1/term", "GET /v1/proposals", "POST /v1/versions", "PUT /v1/members", "POST /v1/messages",
	} {
		recording.recordExchange(client, request, "")
	}
	recording.compare("client.txt")
}

// renewal returns a renewal of router-a with additional fields.
func renewal(known, hash, more string) string {
	return fmt.Sprintf(`{"name":"router-a","incarnation":"i1","seq":7,"known":%s,"hash":%q,"spans":"term 2s, drift 0.01"%s}`, known, hash, more)
}

// recordRollout records two versions from proposal to activation while a router holds a lease, and returns the hash of the second version.
func recordRollout(t *testing.T, recording *transcript, client string) string {
	t.Helper()
	recording.recordExchange(client, "GET /v1/status", "")
	recording.recordExchange(client, "GET /v1/versions", "")
	next := recording.stream(client, "")
	recording.recordExchange(client, "POST /v1/proposals", proposal("p1", ","+twoEngines))
	next() // version 1
	list := recording.recordExchange(client, "GET /v1/versions", "")
	first := regexp.MustCompile(`"hash":"(\w+)"`).FindStringSubmatch(list)
	require.NotNil(t, first)
	recording.recordExchange(client, "POST /v1/term", renewal("0", "", ""))
	recording.recordExchange(client, "POST /v1/term", renewal("1", first[1], ""))
	next() // activated
	recording.recordExchange(client, "POST /v1/term", renewal("1", first[1], ""))
	recording.recordExchange(client, "POST /v1/proposals", proposal("p2", `,"cold_multiple":3,`+twoEngines))
	next() // version 2, not activated: the router has not acknowledged it
	status := recording.recordExchange(client, "GET /v1/status", "")
	second := regexp.MustCompile(`"newest":2,"settled":1,"hash":"(\w+)"`).FindStringSubmatch(status)
	require.NotNil(t, second)
	recording.recordExchange(client, "POST /v1/term", renewal("2", second[1], `,"term":900,"word":"a word"`))
	next() // activated
	recording.recordExchange(client, "GET /v1/status", "")
	recording.recordExchange(client, "GET /v1/versions", "")
	return second[1]
}

func recordStreams(recording *transcript, client string) {
	for _, after := range []string{"1", "0"} {
		next := recording.stream(client, after)
		next()
	}
	recording.recordExchangeWithHeaders(client, "GET /v1/versions/events", "Last-Event-ID: x\r\n", "")
}

// recordRejectedRenewals records the replies to renewals that are invalid or that this group can't grant. hash is the hash of version 2.
func recordRejectedRenewals(recording *transcript, client, hash string) {
	long := strings.Repeat("x", 201)
	for _, body := range []string{
		renewal("2", "other", ""), renewal("9", "", ""), renewal("2", hash, `,"lineage":"other"`), `{"seq":1}`, `{"incarnation":"` + long + `"}`,
		`{"incarnation":"i","name":"` + long + `"}`, `{"incarnation":"i2","name":"router-b","spans":"term 1s, drift 0.01","seq":3}`,
		"", "{", `{"unknown":1}`, `[]`, `{"seq":"x"}`, `{"seq":-1}`, strings.Repeat(" ", 4097),
	} {
		recording.recordExchange(client, "POST /v1/term", body)
	}
}

// recordRejectedProposals records proposals that can't be decoded, that are invalid, that a guard rejects, or whose id is a duplicate.
func recordRejectedProposals(recording *transcript, client string) {
	long := strings.Repeat("x", 201)
	for _, body := range []string{
		"", "{", "[]", `{"unknown":1}`, `{"kind":1}`, `{}`, `{"kind":"propose"}`, `{"kind":"propose","id":"` + long + `"}`, `{"kind":"settle","id":"x","number":9}`,
		`{"kind":"found","id":"x"}`, `{"kind":"propose","id":"b1"}`, `{"kind":"propose","id":"b2","rules":[]}`, `{"kind":"propose","id":"b3","rules":{"unknown":1}}`,
		proposal("p1", `,"cold_multiple":4`), `{"kind":"rollback","id":"b4","number":9}`, `{"kind":"rollback","id":"b5","number":2}`,
		`{"kind":"propose","id":"b6","forced":["none"],"rules":{"routers":2}}`,
		proposal("b7", `,"cold_multiple":3,"engines":{}`),
		proposal("b8", `,"cold_multiple":3,"engines":{"c":{"phase":"active","address":"h:3"}}`),
		proposal("b9", `,"cold_multiple":3,"kinds":{"w":["small"]},`+twoEngines),
		proposal("b10", `,"cold_multiple":3,"kept_off":{"t":["a","b"]},`+twoEngines),
		proposal("b11", `,"cold_multiple":1,`+twoEngines),
		proposal("b12", `,"cold_multiple":1,"engines":{"a":{"phase":"leaving","address":"h:1","kind":"big"}}`),
		`{"kind":"propose","id":"b13","note":"` + strings.Repeat("n", 1001) + `","rules":{"routers":2,"cold_multiple":5,` + twoEngines + `}}`,
	} {
		recording.recordExchange(client, "POST /v1/proposals", body)
	}
}

// recordRejectedRules records the error of each field of the rules.
func recordRejectedRules(recording *transcript, client string) {
	for i, fields := range []string{
		`,"routers":0`, `,"routers":1.5`, `,"routers":2000000`, `,"parts":{"r":2}`, `,"parts":{"r":0.9,"s":0.8}`, `,"parts":{"":0.1}`, `,"importance":{"w":-1}`, `,"shares":{"g":-1}`,
		`,"over_importance":2`, `,"further_share":11`, `,"further_free":-1`, `,"further_window":-1`, `,"probes":-1`, `,"cold_share":1.5`, `,"cold_multiple":-2`,
		`,"warm_after":-1`, `,"drain_grace":-1`, `,"key_rest":-1`, `,"may_turn_away":[""]`, `,"kept_off":{"":["a"]}`, `,"kinds":{"w":[""]}`, `,"engines":{"":{}}`,
		`,"engines":{"a":{}}`, `,"engines":{"a":{"phase":"active"}}`, `,"engines":{"a":{"phase":"active","address":"h:1"},"b":{"phase":"active","address":"h:1"}}`,
		`,"engines":{"a":{"unknown":1}}`, `,"engines":[]`, `,"may_turn_away":"w"`,
	} {
		recording.recordExchange(client, "POST /v1/proposals", proposal(fmt.Sprint("f", i), fields))
	}
}

// recordMembershipChanges records rejected changes, and the addition and removal of a process.
func recordMembershipChanges(t *testing.T, recording *transcript, client string) {
	t.Helper()
	for _, body := range []string{
		"{", `{"unknown":1}`, `{"id":"x"}`, `{}`, `{"id":1}`, `{"id":9,"remove":true}`, `{"id":1,"remove":true}`, `{"id":1,"member":{"peer":"127.0.0.1:1","client":"127.0.0.1:2"}}`,
		`{"id":2,"member":{"peer":"127.0.0.1:1"}}`, `{"id":2,"member":{"peer":"127.0.0.1:1","client":"127.0.0.1:2"}}`,
	} {
		recording.recordExchange(client, "POST /v1/members", body)
	}
	awaitBody(t, recording, client, "GET /v1/status", `"settled":3`) // after the router's lease, which is no longer renewed, has expired
	recording.recordExchange(client, "GET /v1/status", "")
	recording.recordExchange(client, "POST /v1/members", `{"id":2,"remove":true}`)
}

// Compares the exchanges between two processes of a group, in both directions, with the recording.
func TestPeerTranscript(t *testing.T) {
	g, recording := newTestGroup(t, 1), newTranscript(t)
	_, peer := startSingle(t, g, recording)
	recording.recordExchange(peer, "POST /v1/messages", "")
	for _, body := range []string{"\xff", "\x05\x01\x02", "\x02\xff\xff", strings.Repeat("\x80", 20)} {
		recording.recordExchange(peer, "POST /v1/messages", body)
	}
	recording.recordExchangeWithHeaders(peer, "POST /v1/messages", "X-Bankledge-Lineage: other\r\n", "")
	recording.recordExchange(peer, "GET /v1/messages", "")
	recording.recordExchange(peer, "GET /v1/status", "")

	other, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer other.Close()
	recording.addresses[other.Addr().String()] = "<other>"
	own, client := freeAddress(t), freeAddress(t)
	g.startWithSettings(2, fmt.Sprintf(`{id: 1, dir: 'd2', members: {'1': {peer: %q, client: %q}, '2': {peer: %q, client: '127.0.0.1:1'}}, heartbeat_ms: 20, election_ms: 100}`,
		own, client, other.Addr()))
	conn, err := other.Accept()
	require.NoError(t, err)
	defer conn.Close()
	require.NoError(t, conn.SetDeadline(time.Now().Add(30*time.Second)))
	reader := bufio.NewReader(conn)
	var head strings.Builder
	for !strings.HasSuffix(head.String(), "\r\n\r\n") {
		line, err := reader.ReadString('\n')
		require.NoError(t, err)
		head.WriteString(line)
	}
	recording.appendLine("%q", length.ReplaceAllString(head.String(), "Content-Length: <length>"))
	recording.compare("peer.txt")
}

// startThree starts a group of three and returns the ids of its leader and of the two followers. The election timeout is long, so that the
// leader does not change on a busy machine.
func startThree(t *testing.T, g *testGroup, recording *transcript) (leader, follower, third int) {
	t.Helper()
	members := ""
	for id := 1; id <= 3; id++ {
		member := g.members[fmt.Sprint(id)]
		members += fmt.Sprintf("'%d': {peer: %q, client: %q}, ", id, member.Peer, member.Client)
	}
	for id := 1; id <= 3; id++ {
		const form = `{id: %d, dir: 'd%d', members: {%s}, term_ms: 400, renew_ms: 60, answer_ms: 60, heartbeat_ms: 50, election_ms: 2000}`
		g.startWithSettings(id, fmt.Sprintf(form, id, id, members))
	}
	g.awaitStatus(func(status controlapi.Status) bool { return status.IsLeader && status.Lineage != "" })
	leader = int(g.status().Leader)
	follower = leader%3 + 1
	third = follower%3 + 1
	for id, name := range map[int]string{leader: "leader", follower: "follower", third: "third"} {
		member := g.members[fmt.Sprint(id)]
		recording.addresses[member.Client] = "<client of the " + name + ">"
		recording.addresses[member.Peer] = "<peer of the " + name + ">"
	}
	return leader, follower, third
}

// Compares the responses of a follower in a group of three, and of the same process after the other two have been killed, with the
// recording.
func TestFollowerTranscript(t *testing.T) {
	g, recording := newTestGroup(t, 3), newTranscript(t)
	leader, follower, third := startThree(t, g, recording)
	leaderAddress := g.members[fmt.Sprint(leader)].Client
	address := g.members[fmt.Sprint(follower)].Client
	recording.command(g, 0, []string{address, leaderAddress}, "propose", g.writeRules("one", ""), "--wait")
	awaitBody(t, recording, address, "GET /v1/versions", `"settled":1`)
	recording.recordExchange(address, "GET /v1/versions", "")
	next := recording.stream(address, "")
	next()
	_, status := recording.exchange(address, "GET /v1/status", "", "")
	status = strings.Replace(status, fmt.Sprintf(`"id":%d,`, follower), `"id":<follower>,`, 1)
	status = strings.Replace(status, fmt.Sprintf(`"leader":%d,`, leader), `"leader":<leader>,`, 1)
	recording.appendLine("%s", regexp.MustCompile(`"members":\{.*\}\},`).ReplaceAllString(status, "")) // the members are ordered by id, and the leader's id varies
	recording.recordExchange(address, "POST /v1/term", `{"incarnation":"i","seq":3,"name":"router-a"}`)
	recording.recordExchange(address, "POST /v1/proposals", proposal("p2", `,"cold_multiple":7`))
	recording.recordExchange(address, "POST /v1/members", `{"id":9,"remove":true}`)

	assert.Error(t, g.stop(leader, syscall.SIGKILL))
	assert.Error(t, g.stop(third, syscall.SIGKILL))
	awaitBody(t, recording, address, "GET /v1/status", `"leader":0`)
	recording.command(g, 1, []string{address}, "propose", g.writeRules("two", ""), "--within", "200ms")
	recording.command(g, 1, []string{leaderAddress, address}, "members", "remove", "9", "--within", "200ms")
	recording.recordExchange(address, "POST /v1/proposals", proposal("p3", `,"cold_multiple":8`))
	recording.recordExchange(address, "POST /v1/term", `{"incarnation":"i","seq":4}`)
	lines := strings.Split(table.ReplaceAllString(g.commandAt(0, []string{address}, "status"), "  "), "\n")
	recording.appendLine("%s", strings.Join(lines[:3], "\n"))
	recording.compare("follower.txt")
}

// awaitBody repeats a request until the body of its response contains a text.
func awaitBody(t *testing.T, recording *transcript, address, request, text string) {
	t.Helper()
	require.Eventually(t, func() bool {
		_, body := recording.exchange(address, request, "", "")
		return strings.Contains(body, text)
	}, statusTimeout, pollInterval)
}

// Compares the output, errors and exit codes of the operators' commands with the recording.
func TestCommandTranscript(t *testing.T) {
	g, recording := newTestGroup(t, 1), newTranscript(t)
	client, _ := startSingle(t, g, recording)
	at := []string{client}
	run := func(code int, args ...string) { recording.command(g, code, at, args...) }
	run(0, "status")
	run(0, "log")
	run(0, "propose", g.writeRules("one", ""), "--note", "first", "--wait")
	run(0, "propose", g.writeRules("two", "cold_multiple: 3"), "--json")
	run(1, "propose", g.writeRules("two", "cold_multiple: 3"), "--wait")
	run(1, "propose", g.writeRules("less", "engines: {a: {phase: 'active', address: 'h:1'}}"))
	run(0, "propose", g.writeRules("less", "engines: {a: {phase: 'active', address: 'h:1'}}"), "--force", "share-of-engines,floor", "--wait", "--json")
	run(1, "propose", g.writeRules("bad", "cold_share: 7"))
	run(1, "propose", g.writeRules("bad", "unknown: 7"))
	run(1, "propose", filepath.Join(g.dir, "missing"))
	run(1, "propose", g.writeRules("one", ""), "--force", "none")
	run(0, "rollback", "1", "--wait")
	run(1, "rollback", "77")
	run(80, "rollback", "x")
	run(0, "rollback", "2", "--wait", "--json", "--force", "floor", "--force", "share-of-engines")
	run(0, "diff", "1", "2")
	run(0, "diff", "1", "3")
	run(0, "diff", "1", "4")
	run(0, "diff", "2", g.writeRules("other", "routers: 9, parts: {r: 0.1}, engines: null"))
	run(1, "diff", "1", "99")
	run(0, "log")
	run(0, "log", "--json")
	_, body := recording.exchange(client, "GET /v1/status", "", "")
	hash := regexp.MustCompile(`"hash":"(\w+)"`).FindStringSubmatch(body)[1]
	for _, incarnation := range []string{"i1", "i2"} {
		recording.exchange(client, "POST /v1/term", "", fmt.Sprintf(`{"name":"router-%s","incarnation":%q,"seq":1,"known":5,"hash":%q,"spans":"term 2s, drift 0.01","word":"a word"}`, incarnation, incarnation, hash))
	}
	recording.exchange(client, "POST /v1/term", "", `{"name":"router-i2","incarnation":"i3","seq":1,"spans":"term 2s, drift 0.01"}`)
	run(0, "status", "--json")
	run(0, "members", "list")
	run(0, "members", "list", "--json")
	run(0, "members", "add", "7", "127.0.0.1:7", "127.0.0.1:8")
	run(1, "members", "add", "7", "127.0.0.1:7", "127.0.0.1:8")
	run(0, "members", "remove", "7")
	run(1, "members", "remove", "7")
	run(1, "members", "remove", "1")
	for _, command := range []string{"", "serve", "check", "propose", "rollback", "diff", "log", "status", "members", "members list", "members add", "members remove", "router"} {
		run(0, append(strings.Fields(command), "--help")...)
	}
	run(80, "none")
	run(80, "propose")
	recording.compare("commands.txt")
}

// Compares what the check and router commands print for valid and invalid values of each field of the settings files with the recording.
func TestSettingsTranscript(t *testing.T) {
	g, recording := newTestGroup(t, 1), newTranscript(t)
	run := func(command, shown, text string) {
		path := filepath.Join(g.dir, "file.jsonnet")
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		out, err := exec.Command(program, command, path).CombinedOutput()
		recording.appendLine("%s %s\n%s(%v)\n", command, shown, strings.ReplaceAll(string(out), g.dir, "<dir>"), err)
	}
	deployed := func(name string) string {
		raw, err := os.ReadFile("../../deploy/" + name)
		require.NoError(t, err)
		return "(" + string(raw) + ")"
	}
	group, router := deployed("group.jsonnet"), deployed("control.jsonnet")
	recording.command(g, 0, nil, "check", "../../deploy/group.jsonnet")
	recording.command(g, 0, nil, "router", "../../deploy/control.jsonnet")
	for _, text := range []string{
		"{}", "{", "[]", "null", "{id: 1, unknown: 1}", "{id: 0, members: {'1': {peer: '127.0.0.1:1', client: '127.0.0.1:2'}}}", "{id: 'x'}", "{id: -1}", "{dir: ''}", "{dir: 1}",
		"{peer: 'x'}", "{client: 'x'}", "{peer: 'localhost:1'}", "{peer: '127.0.0.1:70000'}", "{members: []}", "{id: 1, members: {x: {peer: '127.0.0.1:1', client: '127.0.0.1:2'}}}",
		"{id: 2, members: {'1': {peer: '127.0.0.1:1', client: '127.0.0.1:2'}}}", "{id: 1, members: {'1': {peer: '127.0.0.1:1', client: '127.0.0.1:1'}}}",
		"{id: 1, members: {'1': {peer: '127.0.0.1:1', client: 'x'}}}", "{id: 1, members: {'1': {peer: '127.0.0.1:1', other: 'x'}}}",
		"{id: 2, joins: true, peer: '127.0.0.1:3', client: '127.0.0.1:4', members: {'1': {peer: '127.0.0.1:1', client: '127.0.0.1:2'}}}", "{joins: 1}",
		"{term_ms: 50}", "{term_ms: 1000}", "{term_ms: 3600001}", "{term_ms: -1}", "{term_ms: 1.5}", "{renew_ms: 5}", "{renew_ms: 3000}", "{answer_ms: 5}", "{answer_ms: 3000}",
		"{batch_ms: -1}", "{batch_ms: 1500}", "{pause_ms: -1}", "{pause_ms: 1500}", "{drift: -0.1}", "{drift: 0.3}", "{drift: 0}", "{heartbeat_ms: -1}", "{heartbeat_ms: 500}",
		"{election_ms: 299}", "{election_ms: 300}", "{most_gone: -1}", "{most_gone: 1.1}", "{most_gone: 1}", "{compact: -1}", "{compact: 5}", "error 'a text'", "{id: self.x}",
	} {
		run("check", text, text)
	}
	for _, more := range []string{"{election_ms: 100}", "{members+: {'1': {peer: '127.0.0.1:7102', client: '127.0.0.1:7201'}}}"} {
		run("check", "group + "+more, group+" + "+more)
	}
	for _, more := range []string{
		"{}", "{addresses: []}", "{addresses: null}", "{addresses: ['x']}", "{addresses: ['localhost:1']}", "{addresses: 'x'}", "{addresses: ['127.0.0.1:' + i for i in std.range(1, 17)]}",
		"{lineage: 'x'}", "{lineage: 1}", "{unknown: 1}", "{term_ms: 50}", "{term_ms: 1000}", "{term_ms: 0}", "{renew_ms: 5}", "{answer_ms: 5}", "{batch_ms: -1}", "{pause_ms: 1500}",
		"{drift: 0.3}", "{drift: 0}", "{drift: -1}", "{most_gone: 2}", "{most_gone: -1}", "{most_gone: 0}", "{term_ms: 'x'}",
	} {
		run("router", more, router+" + "+more)
	}
	recording.compare("settings.txt")
}
