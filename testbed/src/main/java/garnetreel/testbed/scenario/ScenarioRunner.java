package garnetreel.testbed.scenario;

import garnetreel.codec.map.MapMessage.VolumeMap;
import garnetreel.core.io.StateMachine;
import garnetreel.mapservice.MapService;
import garnetreel.testbed.client.NbdLoadGenerator;
import garnetreel.testbed.client.NbdLoadSettings;
import garnetreel.testbed.client.RsyncLoadGenerator;
import garnetreel.testbed.client.RsyncLoadSettings;
import garnetreel.testbed.rules.RulesChecker;
import garnetreel.testbed.rules.Verdict;
import garnetreel.testbed.trace.InMemoryTrace;
import garnetreel.testbed.trace.Trace;
import garnetreel.testbed.trace.TraceEvent;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.UnaryOperator;

/**
 * Runs a scenario in an environment: launches the processes, injects the faults, and checks the trace.
 *
 * <p>The order of random draws and launches is part of its behaviour: a run must be reproducible from its seed.
 */
public final class ScenarioRunner {
    /** Time before the loads start, in which the gateways connect to the node list, in microseconds. */
    private static final long CONNECT_TIME = 300_000;
    /** The seed of a client is the scenario's seed times this plus the client's number. */
    private static final int SEED_STRIDE = 1_000;

    /**
     * The result of a scenario.
     *
     * @param nbdTallies outcomes of the requests of each NBD load, by operation
     * @param rsyncTallies outcomes of the runs of each rsync load
     * @param verdicts the verdict on each rule
     * @param events the trace, in order of time
     * @param unverified number of slots that were written and not read back
     */
    public record Result(
            Map<String, Map<String, NbdLoadGenerator.Tally>> nbdTallies,
            Map<String, RsyncLoadGenerator.Tally> rsyncTallies,
            List<Verdict> verdicts,
            List<TraceEvent> events,
            int unverified) {
        /** Whether all rules were kept and each written slot was read back. */
        public boolean passed() {
            return unverified == 0 && verdicts.stream().allMatch(Verdict::isKept);
        }
    }

    private final Scenario scenario;
    private final ScenarioEnvironment environment;
    private final Trace trace;
    private final InMemoryTrace memory = new InMemoryTrace();
    private final SplittableRandom random;
    private final Deployment deployment;
    private final Timeline timeline = new Timeline();
    private final Map<String, ScenarioEnvironment.RunningProcess> clients = new LinkedHashMap<>();
    private final Map<String, NbdLoadGenerator> nbdLoads = new LinkedHashMap<>();
    private final Map<String, RsyncLoadGenerator> rsyncLoads = new LinkedHashMap<>();

    /**
     * Prepares a run without starting anything.
     *
     * @param additionalTrace receives each trace event as it occurs, in addition to the rules checker
     * @param wrapper wraps each gateway, to inject misbehaviour; usually the identity
     */
    public ScenarioRunner(
            Scenario scenario,
            ScenarioEnvironment environment,
            Trace additionalTrace,
            UnaryOperator<StateMachine> wrapper) {
        this.scenario = scenario;
        this.environment = environment;
        this.random = new SplittableRandom(scenario.seed());
        this.trace = additionalTrace == Trace.NONE
                ? memory
                : event -> {
                    memory.add(event);
                    additionalTrace.add(event);
                };
        this.deployment = new Deployment(scenario, environment, trace, random, wrapper);
    }

    /** Runs the scenario to its end. */
    public Result run() {
        deployment.start();
        environment.advance(environment.now() + CONNECT_TIME);
        startClients();
        long begin = environment.now();
        FaultSchedule faults = new FaultSchedule(scenario, environment, deployment, clients, timeline, trace);
        scenario.faults().forEach(fault -> faults.schedule(begin, fault));
        scheduleMigrations(begin);
        timeline.run(environment);
        environment.advance(begin + scenario.loadDuration() + scenario.settleTime());
        clients.values().forEach(ScenarioEnvironment.RunningProcess::kill);
        deployment.kill();
        return result();
    }

    private void startClients() {
        long number = 0;
        for (NbdLoadSettings settings : scenario.nbdLoads().apply(deployment.nbdAddresses())) {
            number++;
            NbdLoadGenerator client = new NbdLoadGenerator(settings, number, trace, clientSeed(number));
            nbdLoads.put(settings.name(), client);
            launchClient(settings.name(), client);
        }
        for (RsyncLoadSettings settings : scenario.rsyncLoads().apply(deployment.rsyncAddresses())) {
            number++;
            RsyncLoadGenerator client = new RsyncLoadGenerator(settings, trace, clientSeed(number));
            rsyncLoads.put(settings.name(), client);
            launchClient(settings.name(), client);
        }
    }

    private long clientSeed(long number) {
        return scenario.seed() * SEED_STRIDE + number;
    }

    private void launchClient(String name, StateMachine client) {
        clients.put(name, environment.launch(name, client, ScenarioEnvironment.StateStore.NONE));
    }

    /** Schedules migrations of random extents to random shards, spread evenly over time, and the scripted commands. */
    private void scheduleMigrations(long begin) {
        Scenario.MapScenario map = scenario.map();
        if (map == null) {
            return;
        }
        List<VolumeMap> volumes = map.initialMaps().volumes();
        List<Integer> shards = deployment.shards();
        for (int i = 0; i < map.migrations(); i++) {
            VolumeMap volume = volumes.get(random.nextInt(volumes.size()));
            long extent = random.nextLong(volume.extents());
            int shard = shards.get(random.nextInt(shards.size()));
            MapService.MigrateCommand command = new MapService.MigrateCommand(volume.volume(), extent, shard);
            long time = begin + map.migrationsStart() + map.migrationsDuration() * i / map.migrations();
            timeline.schedule(time, () -> deployment.mapService().send(command));
        }
        for (Scenario.ScriptedCommand scripted : map.script()) {
            timeline.schedule(
                    begin + scripted.time(), () -> deployment.mapService().send(scripted.command()));
        }
    }

    private Result result() {
        Map<String, Map<String, NbdLoadGenerator.Tally>> tallies = new LinkedHashMap<>();
        nbdLoads.forEach((name, client) -> tallies.put(name, client.tallies()));
        Map<String, RsyncLoadGenerator.Tally> rsyncTallies = new LinkedHashMap<>();
        rsyncLoads.forEach((name, client) -> rsyncTallies.put(name, client.tally()));
        List<TraceEvent> events = memory.events();
        int unverified = nbdLoads.values().stream()
                .mapToInt(NbdLoadGenerator::unverified)
                .sum();
        return new Result(tallies, rsyncTallies, RulesChecker.check(scenario.rules(), events), events, unverified);
    }
}
