package garnetreel.testbed.scenario;

import garnetreel.core.io.NetEvent;
import garnetreel.mapservice.MapService;
import garnetreel.testbed.client.NbdLoadGenerator;
import garnetreel.testbed.list.FakeNodeList;
import garnetreel.testbed.node.NodeFault;
import garnetreel.testbed.trace.Trace;
import garnetreel.testbed.trace.TraceEvent;
import garnetreel.testbed.trace.TraceLabels;
import java.util.Map;
import java.util.function.Consumer;

/** Schedules the faults of a scenario on its timeline. */
final class FaultSchedule {
    /**
     * A draining node is killed this many microseconds after the drain grace and the list's lag, and restarted after
     * the same time again.
     */
    private static final long DRAIN_MARGIN = 1_000_000;
    /**
     * Time from a restore of the map service to the operator's command to adopt the maps of the nodes, in microseconds.
     */
    private static final long ADOPT_DELAY = 3_000_000;

    private final Scenario scenario;
    private final ScenarioEnvironment environment;
    private final Deployment deployment;
    private final Map<String, ScenarioEnvironment.RunningProcess> clients;
    private final Timeline timeline;
    private final Trace trace;

    /** @param clients the load generators, by name */
    FaultSchedule(
            Scenario scenario,
            ScenarioEnvironment environment,
            Deployment deployment,
            Map<String, ScenarioEnvironment.RunningProcess> clients,
            Timeline timeline,
            Trace trace) {
        this.scenario = scenario;
        this.environment = environment;
        this.deployment = deployment;
        this.clients = clients;
        this.timeline = timeline;
        this.trace = trace;
    }

    /** @param begin the time that the start of the fault is relative to */
    void schedule(long begin, ScheduledFault fault) {
        long from = begin + fault.start();
        long to = from + fault.duration();
        switch (fault.kind()) {
            case NODE_CRASH -> crashNodes(fault, from, to);
            case NODE_VANISH -> silenceNodes(fault, from, to);
            case NODE_DRAIN -> drainNodes(fault, from, to);
            case NODE_SLOW -> nodeFault(fault, from, to, NodeFault.Kind.SLOW);
            case NODE_ERRORS -> nodeFault(fault, from, to, NodeFault.Kind.ERRORS);
            case NODE_LOST_ANSWERS -> nodeFault(fault, from, to, NodeFault.Kind.LOSE_ANSWERS);
            case NODE_CUT -> nodeFault(fault, from, to, NodeFault.Kind.CUT_AFTER);
            case NODE_HALF_OPEN -> nodeFault(fault, from, to, NodeFault.Kind.HALF_OPEN);
            case NODE_CUT_OFF -> nodeFault(fault, from, to, NodeFault.Kind.CUT_OFF);
            case NODE_REFUSE -> nodeFault(fault, from, to, NodeFault.Kind.REFUSE);
            case NODE_CORRUPT -> nodeFault(fault, from, to, NodeFault.Kind.CORRUPT);
            case LIST_LAG -> {
                sendToList(from, new FakeNodeList.ListCommand.SetLag((long) (fault.amount() * 1e6)));
                sendToList(to, new FakeNodeList.ListCommand.SetLag(scenario.listLag()));
            }
            case LIST_FAIL -> {
                sendToList(from, new FakeNodeList.ListCommand.SetFailing(true));
                sendToList(to, new FakeNodeList.ListCommand.SetFailing(false));
            }
            case LIST_SILENT -> {
                sendToList(from, new FakeNodeList.ListCommand.SetSilent(true));
                sendToList(to, new FakeNodeList.ListCommand.SetSilent(false));
            }
            case LIST_CRASH -> {
                timeline.schedule(from, () -> deployment.list().kill());
                timeline.schedule(to, deployment::restartList);
            }
            case MAP_CRASH -> {
                timeline.schedule(from, () -> deployment.mapService().kill());
                timeline.schedule(to, deployment::startMapService);
            }
            case MAP_RESTORE -> restoreMapService(fault, from, to);
            case MAP_STALL -> timeline.schedule(
                    from, () -> deployment.mapService().stall(fault.duration()));
            case HEAD_CRASH -> crashGateways(fault, from, to);
            case HEAD_STALL -> stallGateways(fault, from, to);
            case SURGE -> surge(fault, from, to);
        }
    }

    // ---------------------------------------------------------------- nodes

    private void forEachNode(ScheduledFault fault, Consumer<Deployment.Node> action) {
        fault.nodes().forEach(name -> action.accept(deployment.node(name)));
    }

    private void nodeFault(ScheduledFault fault, long from, long to, NodeFault.Kind kind) {
        // An amount of 0 would clear the fault.
        double amount = fault.amount() == 0 ? 1 : fault.amount();
        forEachNode(fault, node -> {
            timeline.schedule(from, () -> node.sendCommand(new NodeFault(kind, amount)));
            timeline.schedule(to, () -> node.sendCommand(new NodeFault(kind, 0)));
        });
    }

    private void crashNodes(ScheduledFault fault, long from, long to) {
        forEachNode(fault, node -> {
            timeline.schedule(from, node::crash);
            timeline.schedule(to, node::restart);
        });
    }

    private void silenceNodes(ScheduledFault fault, long from, long to) {
        forEachNode(fault, node -> {
            timeline.schedule(from, () -> node.sendCommand(new NodeFault(NodeFault.Kind.SILENCE, 1)));
            timeline.schedule(to, () -> {
                node.crash();
                node.restart();
            });
        });
    }

    private void drainNodes(ScheduledFault fault, long from, long to) {
        long killDelay = scenario.rules().rules().drainGrace() + DRAIN_MARGIN + scenario.listLag();
        long killTime = Math.max(to, from + killDelay);
        forEachNode(fault, node -> {
            timeline.schedule(from, () -> node.sendCommand(new NodeFault(NodeFault.Kind.DRAIN, killDelay)));
            timeline.schedule(killTime, node::crash);
            timeline.schedule(killTime + DRAIN_MARGIN, node::restart);
        });
    }

    // ---------------------------------------------------------------- services

    private void sendToList(long time, NetEvent.Command command) {
        timeline.schedule(time, () -> deployment.list().send(command));
    }

    private void restoreMapService(ScheduledFault fault, long from, long to) {
        timeline.schedule(from, () -> deployment.mapService().kill());
        timeline.schedule(to, () -> deployment.restoreMapService((int) fault.amount()));
        // The operator notices the restore and commands the service to adopt the maps of the nodes.
        timeline.schedule(to + ADOPT_DELAY, () -> deployment.mapService().send(new MapService.AdoptCommand()));
    }

    // ---------------------------------------------------------------- gateways and clients

    private void crashGateways(ScheduledFault fault, long from, long to) {
        for (int number : fault.gateways()) {
            timeline.schedule(from, () -> deployment.gateway(number).kill());
            timeline.schedule(to, () -> deployment.gateway(number).start());
        }
    }

    private void stallGateways(ScheduledFault fault, long from, long to) {
        for (int number : fault.gateways()) {
            timeline.schedule(from, () -> {
                traceStall(number, "on");
                deployment.gateway(number).stall(fault.duration());
            });
            timeline.schedule(to, () -> traceStall(number, "off"));
        }
    }

    private void traceStall(int number, String outcome) {
        String name = deployment.gateway(number).name();
        trace.add(TraceEvent.state(environment.now(), name, "", TraceEvent.Kind.FAULT, TraceLabels.STALL, -1, outcome));
    }

    private void surge(ScheduledFault fault, long from, long to) {
        for (String name : fault.loads()) {
            timeline.schedule(from, () -> clients.get(name).send(new NbdLoadGenerator.Surge(fault.amount())));
            timeline.schedule(to, () -> clients.get(name).send(new NbdLoadGenerator.Surge(1)));
        }
    }
}
