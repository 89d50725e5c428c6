package policy

// Identifiers of the package. Job classes, tenants, zones and executor kinds are numbered from 0.
type (
	// JobID identifies a job among the jobs in flight at this node.
	JobID string
	// ExecutorID identifies an executor in the endpoint list.
	ExecutorID string
	// AttemptID is the number of an attempt. The attempts of each job are numbered from 0.
	AttemptID int
	// NodeID is the number of a node, from 0 to the number of nodes minus one.
	NodeID int
	// ExecutorHash is a hash of an executor's ID. It identifies the executor in lease messages between nodes.
	ExecutorHash uint32
	// JobClassID is the number of a job class. Numbers are never reused for another class.
	JobClassID int
	// TenantID is the number of a tenant. A number that is out of range means no tenant.
	TenantID int
	// ZoneID is the number of a zone.
	ZoneID int
	// KindID is the number of an executor kind.
	KindID int
	// CellID is the number of a cell, a group of executors that recognize duplicates of each other's jobs.
	CellID int
)

// AnyKind is the kind of a job class whose jobs can run on executors of every kind.
const AnyKind KindID = -1

// NoJobClass means no job class.
const NoJobClass JobClassID = -1
