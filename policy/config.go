package policy

import "time"

// config holds the settings that don't change while the process runs.
type config struct {
	nodeID    NodeID
	nodeCount int
	zone      ZoneID
	quantum   time.Duration // time resolution; a deadline counts as reached one quantum early

	// valuePerWork says that the value of a job grows with its work: class value times the work in seconds. If
	// valuePerWork is false, the value of a job is the value of its class.
	valuePerWork bool
	// overQuotaValue limits how much less the jobs of a tenant over its quota are valued. The value of a tenant's jobs
	// is multiplied by a factor from overQuotaValue to 1. Within the quota, the factor is 1. The further the tenant is
	// over its quota, the closer the factor is to overQuotaValue.
	overQuotaValue float64
	// crossZoneCost is the cost of sending a job to another zone, as a multiple of the mean value of a job; 0: no cost.
	crossZoneCost float64
	// totalWeight is the weight of the total value in the sum that the dispatcher maximizes. The total value is that of
	// all classes together.
	totalWeight float64
	// worstClassWeight is the weight of the worst class in the sum that the dispatcher maximizes. The worst class is
	// the one that earned the lowest fraction of its requested value. Requested value is the value of the first tries
	// that arrived.
	worstClassWeight float64

	maxAttempts         int           // largest number of attempts of a job whose class sets no limit
	maxRetryAfter       time.Duration // longest Retry-After of a rejection; 0: rejections have no Retry-After
	canCancel           bool          // executors support the cancellation of attempts
	canHedge            bool          // idempotent jobs are allowed a second attempt in flight
	canCheckHealth      bool          // executors answer health checks with their load
	canLease            bool          // nodes are allowed to send each other lease messages
	clientsMarkRetries  bool          // clients mark their retries as such
	loadAdjustedWeights bool          // an executor's weight in the endpoint list falls with its load
	endpointsPolled     bool          // the node must request the endpoint list; otherwise discovery sends it unrequested
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
