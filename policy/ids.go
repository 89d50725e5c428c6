package policy

// Each kind of id is a type of its own. The numbers of job classes, tenants, zones and kinds count from 0.
type (
	// JobID names a job among those that this node has in hand.
	JobID string
	// ExecutorID names an executor in the endpoint list.
	ExecutorID string
	// AttemptID counts a job's attempts from 0.
	AttemptID int
	// NodeID is a node's number, from 0 to the number of nodes less one.
	NodeID int
	// ExecutorHash names an executor in lease messages between nodes.
	ExecutorHash uint32
	// JobClassID is the number of a job class. A number once used never means another class.
	JobClassID int
	// TenantID is the number of a tenant; below 0 or past the last one: none.
	TenantID int
	// ZoneID is the number of a zone.
	ZoneID int
	// KindID is the number of an executor kind.
	KindID int
	// CellID is the number of a cell: a group of executors that drop each other's duplicates.
	CellID int
)

// AnyKind is the kind of a job class that every executor may run.
const AnyKind KindID = -1

// NoJobClass is the number of no job class.
const NoJobClass JobClassID = -1
