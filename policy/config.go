package policy

import "time"

// config is the part of Settings that holds unchanged while the process runs.
type config struct {
	nodeID    NodeID
	nodeCount int
	zone      ZoneID
	quantum   time.Duration // what comes so close to a deadline counts as at it

	valuePerWork     bool    // a job's value is its class's times its work
	overQuotaValue   float64 // factor of the value of what a tenant sends over its quota
	crossZoneCost    float64 // cost of sending a mean job to another zone, in mean values
	totalWeight      float64 // of the value earned over all classes in the operators' measure
	worstClassWeight float64 // of the class that fares worst in it

	maxAttempts         int           // of classes that have no limit of their own
	retryAfter          time.Duration // the longest advised wait of a rejected client; 0: no advice
	canCancel           bool          // an attempt may be canceled
	canHedge            bool          // an idempotent job may have a second attempt out
	canProbe            bool          // executors answer probes with their load
	canLease            bool          // nodes may send each other lease messages
	clientsMarkRetries  bool          // clients mark what they send again
	loadAdjustedWeights bool          // weights in the endpoint list fall with the load
	endpointsPolled     bool          // the endpoint list comes only when it is polled
	startNotices        bool          // executors tell when a job starts
	progressInterval    time.Duration // between an executor's progress notices; 0: there are none
}

// newConfig takes the configuration from the settings.
func newConfig(settings Settings) config {
	return config{
		nodeID:              NodeID(settings.Node),
		nodeCount:           settings.Nodes,
		zone:                settings.Zone,
		quantum:             settings.Quantum,
		valuePerWork:        settings.ValuePerWork,
		overQuotaValue:      settings.OverQuotaValue,
		crossZoneCost:       settings.CrossZoneCost,
		totalWeight:         settings.TotalWeight,
		worstClassWeight:    settings.WorstClassWeight,
		maxAttempts:         settings.MaxAttempts,
		retryAfter:          settings.MaxRetryAfter,
		canCancel:           settings.MayCancel,
		canHedge:            settings.MayHedge,
		canProbe:            settings.MayCheckHealth,
		canLease:            settings.MayLease,
		clientsMarkRetries:  settings.ClientsMarkRetries,
		loadAdjustedWeights: settings.LoadAdjustedWeights,
		endpointsPolled:     settings.EndpointsPolled,
		startNotices:        settings.StartNotices,
		progressInterval:    settings.ProgressInterval,
	}
}
