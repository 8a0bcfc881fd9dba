package settings

import (
	"time"

	"bankledge/decision"
)

// Microseconds is a duration in the JSON of settings and of the simulator's protocol: a whole number of microseconds.
type Microseconds int64

// Duration returns the value as a time.Duration.
func (m Microseconds) Duration() time.Duration { return time.Duration(m) * time.Microsecond }

// info is the JSON form of the settings object; decoding errors contain its name. Unknown keys are ignored. Lists about
// workloads have the order of Classes, lists about machine types that of MachineTypes; both may be shorter.
type info struct {
	Bounds struct {
		MayCancel     bool         `json:"mayCancel"`
		MayProbe      bool         `json:"mayProbe"`
		SecondCopies  bool         `json:"secondCopies"`
		RetryAfter    bool         `json:"retryAfter"`
		MaxRetryAfter Microseconds `json:"maxRetryAfter"`
		MaxAttempts   int          `json:"maxAttempts"`
		MaxOpen       int          `json:"maxOpen"`

		ConnectTimeout Microseconds `json:"connectTimeout"`
		IdleClose      Microseconds `json:"idleClose"`
	} `json:"bounds"`
	Classes []struct {
		Name         string                 `json:"name"`
		Gain         float64                `json:"gain"`
		LateShare    float64                `json:"lateShare"`
		Objective    Microseconds           `json:"objective"`
		AimStretch   float64                `json:"aimStretch"`
		Deadline     Microseconds           `json:"deadline"`
		Idempotency  string                 `json:"idempotency"`
		Group        string                 `json:"group"`
		Window       Microseconds           `json:"window"`
		Sequential   bool                   `json:"sequential"`
		AreasAllowed []decision.Zone        `json:"areasAllowed"`
		AllowedOn    []decision.MachineType `json:"allowedOn"`
	} `json:"classes"`
	Discovery string `json:"discovery"`
	Extra     struct {
		CPUOfKind      []float64    `json:"cpuOfKind"`
		RAMOfKindMb    []float64    `json:"ramOfKindMb"`
		GrantCap       float64      `json:"grantCap"`
		Grants         bool         `json:"grants"`
		OnShortage     string       `json:"onShortage"`
		Priorities     bool         `json:"priorities"`
		TellsEvery     Microseconds `json:"tellsEvery"`
		ThreadsByClass []int        `json:"threadsByClass"`
		WaitsForLoads  []bool       `json:"waitsForLoads"`
		WritesTables   []bool       `json:"writesTables"`
	} `json:"extra"`
	Feedback struct {
		Fields []string `json:"fields"`
		Via    string   `json:"via"`
	} `json:"feedback"`
	Guarantees struct {
		AskEvery       Microseconds `json:"askEvery"`
		BudgetFree     float64      `json:"budgetFree"`
		BudgetShare    float64      `json:"budgetShare"`
		RatioSpan      Microseconds `json:"ratioSpan"`
		ColdShare      float64      `json:"coldShare"`
		WarmAfter      Microseconds `json:"warmAfter"`
		DrainGrace     Microseconds `json:"drainGrace"`
		OverloadFactor float64      `json:"overloadFactor"`
		Fall           Microseconds `json:"fall"`
		KeyRest        Microseconds `json:"keyRest"`
	} `json:"guarantees"`
	MachineTypes []decision.MachineType `json:"machineTypes"`
	Me           int                    `json:"me"`
	Orgs         []struct {
		Name      decision.Tenant `json:"name"`
		QuotaPerS float64         `json:"quotaPerS"`
	} `json:"orgs"`
	OverShareWorth float64       `json:"overShareWorth"`
	ReplicasOfMe   int           `json:"replicasOfMe"`
	Tick           Microseconds  `json:"tick"`
	Zone           decision.Zone `json:"zone"`
}
