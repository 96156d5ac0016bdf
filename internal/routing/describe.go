package routing

import (
	"fmt"
	"strconv"
	"strings"

	"aniseloft/decide"
	"aniseloft/internal/millis"
)

// DescribeEndpoints returns one line for each endpoint with its state in the balancer and the number
// of its connections. The result is empty once Run has ended.
func (d *Dispatcher) DescribeEndpoints() string {
	description := make(chan string, 1)
	d.post(func() {
		var b strings.Builder
		for _, status := range d.balancer.EndpointStatuses(millis.Now()) {
			d.describeEndpoint(&b, status)
		}
		description <- b.String()
	})
	select {
	case s := <-description:
		return s
	case <-d.done:
		return ""
	}
}

// describeEndpoint writes the line of one endpoint.
func (d *Dispatcher) describeEndpoint(b *strings.Builder, status decide.EndpointStatus) {
	endpointName, address, busyConnections, idleConnections := "gone", "", 0, 0
	if e := d.endpoints[status.ID]; e != nil {
		endpointName, address = e.Name, e.Address
		busyConnections, idleConnections = e.upstream.Connections()
	}
	fmt.Fprintf(b, "engine name=%s id=%d addr=%s ready=%t left_out=%t down=%t cold=%t strain=%.2f in_flight=%d ",
		endpointName, status.ID, address, status.Ready, status.Ejected, status.ProcessDown, status.WarmingUp, status.LatencyPressure, status.InFlight)
	fmt.Fprintf(b, "report_age_ms=%.0f report_inflight=%.1f report_util=%.2f report_x0=%.2f report_x1=%.2f connections_busy=%d connections_idle=%d\n",
		status.ReportAge, status.Report.InFlight, status.Report.Utilization, status.Report.Memory, status.Report.Disk, busyConnections, idleConnections)
}

// logDecision logs a message of the balancer about an endpoint.
func (d *Dispatcher) logDecision(logAction decide.Log) {
	endpointName := strconv.FormatUint(uint64(logAction.Endpoint), 10)
	if e := d.endpoints[logAction.Endpoint]; e != nil {
		endpointName = e.Name
	}
	switch logAction.Message {
	case decide.LogEndpointEjected:
		d.log.Info("endpoint ejected", "endpoint", endpointName, "reason", logAction.Reason.String())
	case decide.LogEndpointRestored:
		d.log.Info("endpoint restored", "endpoint", endpointName)
	}
}
