// Package mechanism lists the mechanisms of the data plane that can be disabled, for example
// to measure the effect of each (docs/DECISIONS-UNDER-LOAD.md).
package mechanism

// Set states which mechanisms are enabled.
type Set struct {
	// ZonePrice takes the cost of traffic between zones into account when an instance is
	// chosen.
	ZonePrice bool `yaml:"zone_price" help:"weigh the bytes between zones when an instance is chosen"`
	// Speeds takes the speed of instances into account when one is chosen.
	Speeds bool `yaml:"speeds" help:"tell fast instances from slow ones"`
	// AvoidFailing avoids instances that fail their requests.
	AvoidFailing bool `yaml:"avoid_failing" help:"leave instances alone that fail their requests"`
	// AvoidSilent avoids instances that send no answers.
	AvoidSilent bool `yaml:"avoid_silent" help:"leave instances alone from which nothing comes"`
	// ValueOrder grants slots first to requests that can be in time, then to retries.
	ValueOrder bool `yaml:"value_order" help:"give slots to requests that can be in time first, then to those that came back"`
	// ShortFirst grants slots to short requests before long ones.
	ShortFirst bool `yaml:"short_first" help:"give slots to short requests before long ones"`
	// DueOrder grants slots by due time instead of arrival time.
	DueOrder bool `yaml:"due_order" help:"give slots to what is due first instead of what came first"`
	// KeepOnlyCandidate keeps urgent requests waiting that no other instance can take.
	KeepOnlyCandidate bool `yaml:"stays" help:"keep urgent requests that can be brought to no other instance"`
	// EarlyRefusal refuses requests that could not meet their deadlines.
	EarlyRefusal bool `yaml:"early_refusal" help:"refuse requests that could not be in time"`
	// PatientCalls lets requests whose callers do not retry wait for as long as they are of
	// use.
	PatientCalls bool `yaml:"patient_calls" help:"keep requests whose callers do not come back for as long as they are of use"`
	// LateRetries asks callers to retry later, the more new requests are refused.
	LateRetries bool `yaml:"late_returns" help:"ask callers to come back later the more new requests are refused"`
	// Repeats sends repeatable requests to a further instance, within the fleet's budget.
	Repeats bool `yaml:"repeats" help:"send requests that may be repeated to a further instance, within the fleet's budget"`
	// IdleLimit sends requests that must not be repeated only on connections that were idle
	// for a short time.
	IdleLimit bool `yaml:"rest_limit" help:"send what may run once only on connections that hardly rested"`
	// LinkAdmission admits large bodies to the links of machines before they are sent.
	LinkAdmission bool `yaml:"link_admission" help:"admit large bodies to the links of machines before they are sent"`
	// EgressSchedule sends large responses within the rate of the machine's link, in the order of
	// their priorities and due times.
	EgressSchedule bool `yaml:"egress_schedule" help:"send large answers within the link's rate, the most urgent first"`
	// LinkBacklog takes the backlog of the machines' links into account when an instance is chosen or a
	// request admitted whose route has large responses.
	LinkBacklog bool `yaml:"link_backlog" help:"weigh the backlog of the links where responses are large"`
	// LoadReports uses the load that instances state in their answers, if it includes their
	// slowdown.
	LoadReports bool `yaml:"load_reports" help:"use the load that instances state in their answers"`
	// SlotReservation keeps slots of an instance free for requests of higher priority.
	SlotReservation bool `yaml:"slot_reservation" help:"keep slots free for requests of higher priority while requests of priority 0 arrive"`
	// ClassShares guarantees each priority a part of the slot time, and lets requests that can be in time go before
	// late ones of any priority.
	ClassShares bool `yaml:"class_shares" help:"guarantee each priority a part of the slots, and put late requests behind all others"`
	// CallPriority gives calls of instances the priority of the request that they are made for.
	CallPriority bool `yaml:"call_priority" help:"give calls of instances the priority of the request that they are made for, and let them wait until their deadline"`
	// LapseGrace waits for entries that expired while the store was unavailable to be renewed.
	LapseGrace bool `yaml:"lapse_grace" help:"await entries that lapsed while the store was away"`
	// ColdChecks asks an instance whether it is cold before it gets more requests than it could take then.
	ColdChecks bool `yaml:"cold_checks" help:"ask an instance whether it is cold before it gets more requests than a cold one may"`
	// Admission decides by forecast whether a request that can only be late waits or is rejected, and asks fewer
	// instances while a service is full.
	Admission bool `yaml:"admission" help:"keep late requests that will be served, and reject the others at once"`
}

// All returns a Set with all mechanisms enabled.
func All() Set {
	return Set{
		ZonePrice: true, Speeds: true, AvoidFailing: true, AvoidSilent: true, ValueOrder: true,
		ShortFirst: true, DueOrder: true, KeepOnlyCandidate: true, EarlyRefusal: true, PatientCalls: true,
		LateRetries: true, Repeats: true, IdleLimit: true, LinkAdmission: true, EgressSchedule: true,
		LinkBacklog: true, LoadReports: true, SlotReservation: true, CallPriority: true, LapseGrace: true,
		Admission: true, ColdChecks: true, ClassShares: true,
	}
}
