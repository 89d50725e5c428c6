package policy

import "time"

// config holds the settings that don't change while the process runs.
type config struct {
	nodeID    NodeID
	nodeCount int
	zone      ZoneID
	quantum   time.Duration // time resolution: a time this close to a deadline counts as reaching it

	valuePerWork     bool    // the value of a job is the value of its class times its work in seconds
	overQuotaValue   float64 // factor for the value of a tenant's jobs over its quota, 0 to 1
	crossZoneCost    float64 // cost of sending a job to another zone, as a multiple of the mean value of a job; 0: none
	totalWeight      float64 // weight of the total value over all classes in the value to maximize
	worstClassWeight float64 // weight of the class with the lowest fraction of its requested value in the value to maximize

	maxAttempts         int           // most attempts of a job whose class sets no limit
	maxRetryAfter       time.Duration // longest Retry-After of a rejection; 0: rejections have none
	canCancel           bool          // executors support the cancellation of attempts
	canHedge            bool          // an idempotent job may have a second attempt in flight
	canCheckHealth      bool          // executors answer health checks with their load
	canLease            bool          // nodes may send each other lease messages
	clientsMarkRetries  bool          // clients mark their retries as such
	loadAdjustedWeights bool          // an executor's weight in the endpoint list falls with its load
	endpointsPolled     bool          // the endpoint list must be requested; otherwise it arrives unrequested
	startNotices        bool          // executors notify the node when a job starts
	progressInterval    time.Duration // interval of an executor's progress notices; 0: executors send none
}

// newConfig returns the config of the given settings.
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
		maxRetryAfter:       settings.MaxRetryAfter,
		canCancel:           settings.MayCancel,
		canHedge:            settings.MayHedge,
		canCheckHealth:      settings.MayCheckHealth,
		canLease:            settings.MayLease,
		clientsMarkRetries:  settings.ClientsMarkRetries,
		loadAdjustedWeights: settings.LoadAdjustedWeights,
		endpointsPolled:     settings.EndpointsPolled,
		startNotices:        settings.StartNotices,
		progressInterval:    settings.ProgressInterval,
	}
}
