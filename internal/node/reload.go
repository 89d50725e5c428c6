package node

import (
	"fmt"
	"strings"
)

// configReloaded applies a configuration that was read again: its discovery address, job classes and limits. Jobs in
// flight are not affected. An invalid configuration changes nothing.
func (n *Node) configReloaded(ev ConfigReloaded) {
	if ev.Detail != "" {
		n.metrics.countReload(false)
		n.emit(Log{Text: "configuration reload rejected: " + ev.Detail})
		return
	}
	n.metrics.countReload(true)
	n.emit(Log{Text: "configuration reloaded; endpoint list from " + ev.Discovery})
	if len(ev.NeedRestart) > 0 {
		n.emit(Log{Text: "changed, effective after a restart: " + strings.Join(ev.NeedRestart, ", ")})
	}
	n.reloadJobClasses(ev)
	n.emit(SwitchDiscovery{ev.Discovery})
}

// reloadJobClasses applies the job classes of a reload, and the limits that depend on the classes. The policy, the node
// and the frontend change to the new classes in the same step.
func (n *Node) reloadJobClasses(ev ConfigReloaded) {
	n.limits.MaxWork, n.limits.ShutdownTimeout = ev.MaxWork, ev.ShutdownTimeout
	if n.classes.same(ev.Classes) {
		return
	}
	n.policy.UpdateJobClasses(n.now, n.setJobClasses(ev.Classes))
	n.emit(Log{Text: fmt.Sprintf("job classes updated: %d", len(n.classes.current))})
	n.emit(UpdateJobClasses{n.classes.current})
}
