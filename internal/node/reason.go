package node

// Reason says why a job was answered in any way other than with a result. It is only logged.
type Reason int

// The reasons.
const (
	NoReason            Reason = iota // the job succeeded
	ReasonPolicy                      // the policy rejected the job or gave it up
	ReasonConnLimit                   // the frontend was nearly out of connections
	ReasonBodyLimit                   // the request bodies of all jobs would take too much memory
	ReasonIDInUse                     // a job with the same ID has an attempt in flight
	ReasonIDUsed                      // a job with the same ID may have run before
	ReasonClaimTimeout                // another process of the node did not answer the claim on the job's ID
	ReasonDeadline                    // the deadline has passed
	ReasonInvalid                     // the executor found the request invalid
	ReasonPolicyPanic                 // the policy panicked
	ReasonFrontendEnded               // the frontend has failed
	ReasonClientUnknown               // the client has sent so much more that its close could not be noticed
)

// reasonTexts are the reasons as they are logged.
var reasonTexts = [...]string{
	NoReason:            "",
	ReasonPolicy:        "policy",
	ReasonConnLimit:     "near the connection limit",
	ReasonBodyLimit:     "over the memory for request bodies",
	ReasonIDInUse:       "a job with this ID is in flight",
	ReasonIDUsed:        "a job with this ID may have run before",
	ReasonClaimTimeout:  "another process of the node did not answer",
	ReasonDeadline:      "the deadline has passed",
	ReasonInvalid:       "the executor found the request invalid",
	ReasonPolicyPanic:   "the policy panicked",
	ReasonFrontendEnded: "the frontend has ended",
	ReasonClientUnknown: "the client has sent too much ahead of its answers",
}

// String returns the reason as it is logged.
func (r Reason) String() string { return reasonTexts[r] }
