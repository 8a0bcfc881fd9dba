package faultlab

import (
	"fmt"
	"os"
	"strconv"
	"strings"
)

const (
	clockTicks   = 100 // per second, the unit of processor times in /proc
	megabyte     = 1 << 20
	statUserTime = 11 // index of the field of /proc/PID/stat after the command name
	statSysTime  = 12
	statmPages   = 1 // index of the field of /proc/PID/statm
)

// groupUsage is a snapshot of the resources that the control group has used.
type groupUsage struct {
	members []*member
	leader  *member
	cpu     float64 // seconds, of the leader
	bytes   float64
}

func (run *benchmarkRun) startUsage() groupUsage {
	return groupUsage{
		members: run.fleet.members,
		leader:  run.leader,
		cpu:     run.leader.cpuSeconds(),
		bytes:   transferredBytes(run.fleet.members),
	}
}

// rates returns the usage since the snapshot: processor seconds of the leader per second, and bytes of the group per second and router.
func (u groupUsage) rates(passed float64, routers int) (cpu, bytes float64) {
	cpu = (u.leader.cpuSeconds() - u.cpu) / passed
	bytes = (transferredBytes(u.members) - u.bytes) / passed / float64(routers)
	return cpu, bytes
}

// cpuSeconds returns the processor time of the process from /proc, or 0 if it is not available.
func (m *member) cpuSeconds() float64 {
	raw, err := os.ReadFile(m.procFile("stat"))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(raw), ") ")
	fields := strings.Fields(rest)
	if len(fields) <= statSysTime {
		return 0
	}
	return (parseNumber(fields[statUserTime]) + parseNumber(fields[statSysTime])) / clockTicks
}

// residentMB returns the resident memory of the process in megabytes, or 0 if it is not available.
func (m *member) residentMB() float64 {
	raw, err := os.ReadFile(m.procFile("statm"))
	fields := strings.Fields(string(raw))
	if err != nil || len(fields) <= statmPages {
		return 0
	}
	return parseNumber(fields[statmPages]) * float64(os.Getpagesize()) / megabyte
}

// transferredBytes returns the bytes that all processes have read and written by system calls: mostly socket traffic, and some disk I/O.
func transferredBytes(members []*member) (total float64) {
	for _, m := range members {
		raw, err := os.ReadFile(m.procFile("io"))
		if err != nil {
			continue
		}
		for line := range strings.Lines(string(raw)) {
			name, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
			if name == "rchar" || name == "wchar" {
				total += parseNumber(value)
			}
		}
	}
	return total
}

func (m *member) procFile(name string) string {
	return fmt.Sprintf("/proc/%d/%s", m.current().cmd.Process.Pid, name)
}

// parseNumber parses a number. It returns 0 for invalid text.
func parseNumber(text string) float64 {
	number, _ := strconv.ParseFloat(text, 64)
	return number
}
