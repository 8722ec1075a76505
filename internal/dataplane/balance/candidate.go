package balance

import (
	"time"

	"github.com/winchhead/winchhead/internal/snapshot"
)

const (
	// crossZoneCostPerKiB is the cost of a kibibyte between zones, as a share of the value of
	// an answer in time.
	crossZoneCostPerKiB = 0.03
	// exchangeOverheadBytes is the size of a request and its answer without their bodies.
	exchangeOverheadBytes = 600
	// latencyCost is the cost of using up the whole target latency, besides the risk of a
	// late answer. It decides between instances with the same risk.
	latencyCost = 0.05
	// maxLatencyTargets limits the latency that is counted, in multiples of the target.
	maxLatencyTargets = 10
	// occupancyCost is the cost of an instance without a free slot. It is lower than the
	// cost of a late answer, as later requests need the fast instances too.
	occupancyCost = 0.05
	// failureRateThreshold is the failure rate from which an instance is avoided if there
	// are others: two failures in a row, or about two in five. Fewer may be chance.
	failureRateThreshold = 0.35
	// highFailureCost is the cost of an instance at a failure rate of 1, to which the cost is
	// proportional; lowFailureCost takes its place below failureRateThreshold.
	highFailureCost = 2
	lowFailureCost  = 0.05
	kibibyte        = 1024
	// coldSlowdown is how many times longer requests take while an instance warms up.
	coldSlowdown = 2.0
)

// candidate is an instance that may be chosen, with its cost.
type candidate struct {
	instance snapshot.Instance
	// expectedLatency is how long the request is expected to take, including its wait for a
	// slot; serviceTime excludes that wait.
	expectedLatency, serviceTime time.Duration
	// cost is the risk that the answer is late plus the cost of sending the request, as a
	// share of the value of an answer in time.
	cost float64
}

// evaluate estimates how long a request takes at an instance and the cost of sending it
// there.
func (b *Balancer) evaluate(instance *snapshot.Instance, known *instanceState, request Request) candidate {
	route := b.routeStatsOf(request.Route)
	enabled := b.options.Mechanisms
	slowdown := known.warmUpSlowdown(request.Now)
	if enabled.Speeds {
		slowdown *= known.slowdownAt(request.Now) * known.momentary.at(request.Now)
	}
	serviceTime := time.Duration(float64(route.meanServiceTime) * slowdown)
	load := known.load(b.serviceLoadOf(instance.Service).expectedLoad(slotsOf(instance), request.Now), request.Now)
	wait := known.slotWait(instance, load, time.Duration(float64(b.meanServiceTime)*slowdown), request.Now)
	if !b.isLocal(instance) {
		wait += known.transferTime(request.Bytes, request.Now)
		wait += b.responseTime(known, route, wait+serviceTime, request.Now)
	}
	result := candidate{instance: *instance, expectedLatency: wait + serviceTime, serviceTime: serviceTime}
	result.cost = b.latenessCost(route, request, wait, serviceTime) + b.zoneCost(instance, route, request) +
		occupancyCost*min(float64(load)/float64(slotsOf(instance)), 1)
	failureRate := 0.0
	if enabled.AvoidFailing {
		failureRate = known.failureRateAt(request.Now)
	}
	if enabled.AvoidSilent && known.isSilent(max(route.meanServiceTime, b.meanServiceTime), request.Now) {
		failureRate = 1
	}
	result.cost += failureCost(failureRate)
	return result
}

// failureCost returns the cost of an instance's failure rate.
func failureCost(failureRate float64) float64 {
	if failureRate < failureRateThreshold {
		return lowFailureCost * failureRate
	}
	return highFailureCost * failureRate
}

// latenessCost returns the probability that the answer is late, plus a small cost for the
// latency itself.
func (b *Balancer) latenessCost(route *routeStats, request Request, wait, serviceTime time.Duration) float64 {
	if request.Target <= 0 {
		return latencyCost * float64(wait+serviceTime) / float64(initialServiceTime)
	}
	latencyTargets := min(float64(wait+serviceTime)/float64(request.Target), maxLatencyTargets)
	return 1 - route.fractionWithin(request.Target-request.Elapsed-wait, serviceTime) + latencyCost*latencyTargets
}

// zoneCost returns the cost of the bytes that would be sent to another zone and back.
func (b *Balancer) zoneCost(instance *snapshot.Instance, route *routeStats, request Request) float64 {
	if b.isInOwnZone(instance) || !b.options.Mechanisms.ZonePrice {
		return 0
	}
	return crossZoneCostPerKiB * (exchangeOverheadBytes + float64(request.Bytes) + route.answerBytes) / kibibyte
}
