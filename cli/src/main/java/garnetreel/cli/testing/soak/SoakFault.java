package garnetreel.cli.testing.soak;

import garnetreel.cli.testing.soak.FakeDiscovery.Mode;
import garnetreel.cli.testing.soak.ProcessFaults.Call;
import garnetreel.cli.testing.soak.StorageServer.ResponseFault;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** The faults that a soak injects, each from a thread of its own, so that faults overlap. */
enum SoakFault {
    HEAD_TERMINATED {
        @Override
        void inject(SoakEnvironment environment, SplittableRandom random) throws IOException {
            restartGracefully(gateway(environment, random), false);
        }
    },
    HEAD_TERMINATED_AT_RECONFIGURATION {
        @Override
        void inject(SoakEnvironment environment, SplittableRandom random) throws IOException {
            restartGracefully(gateway(environment, random), true);
        }
    },
    HEAD_KILLED {
        @Override
        void inject(SoakEnvironment environment, SplittableRandom random) throws IOException {
            killAndRestart(List.of(gateway(environment, random)));
        }
    },
    MOST_HEADS_KILLED {
        @Override
        void inject(SoakEnvironment environment, SplittableRandom random) throws IOException {
            killAndRestart(environment.gateways.stream()
                    .filter(ignored -> random.nextDouble() < 0.7)
                    .toList());
        }
    },
    HEAD_HELD_UP {
        @Override
        void inject(SoakEnvironment environment, SplittableRandom random) throws IOException {
            GatewayProcess gateway = gateway(environment, random);
            for (int i = 0; i < 6 && gateway.state() == GatewayProcess.State.READY; i++) {
                gateway.suspend(20 + random.nextInt(60)); // with the signals, less than the 150 ms of --slack
                Threads.pause(random.nextInt(400));
            }
        }
    },
    RECONFIGURED {
        @Override
        void inject(SoakEnvironment environment, SplittableRandom random) throws IOException {
            gateway(environment, random).reconfigure(false);
        }
    },
    RECONFIGURED_THREE_TIMES {
        @Override
        void inject(SoakEnvironment environment, SplittableRandom random) throws IOException {
            GatewayProcess gateway = gateway(environment, random);
            for (int i = 0; i < 3; i++) {
                gateway.reconfigure(false);
                Threads.pause(random.nextInt(60));
            }
        }
    },
    RECONFIGURED_BY_HALVES {
        @Override
        void inject(SoakEnvironment environment, SplittableRandom random) throws IOException {
            gateway(environment, random).reconfigure(true);
        }
    },
    SERVER_REPLACED {
        @Override
        void inject(SoakEnvironment environment, SplittableRandom random) throws IOException {
            StorageServer old = server(environment, random);
            environment.addServer(old.shard);
            old.setDraining(true);
            environment.discovery.put(old.entry("draining"));
            Threads.pause(1_000 + random.nextInt(6_000));
            environment.removeServer(old);
        }
    },
    SERVER_DRAINED_AND_BACK {
        @Override
        void inject(SoakEnvironment environment, SplittableRandom random) throws IOException {
            StorageServer server = server(environment, random);
            server.setDraining(true);
            environment.discovery.put(server.entry("draining"));
            Threads.pause(500 + random.nextInt(8_000));
            server.setDraining(false);
            environment.discovery.put(server.entry("up"));
        }
    },
    SERVER_KILLED {
        @Override
        void inject(SoakEnvironment environment, SplittableRandom random) throws IOException {
            StorageServer old = server(environment, random);
            old.close();
            Threads.pause(500 + random.nextInt(2_000));
            environment.removeServer(old);
            environment.addServer(old.shard);
        }
    },
    SERVER_MISBEHAVES {
        @Override
        void inject(SoakEnvironment environment, SplittableRandom random) throws IOException {
            StorageServer server = server(environment, random);
            ResponseFault fault = ResponseFault.values()[random.nextInt(ResponseFault.values().length)];
            server.setFault(fault, 0.1 + 0.5 * random.nextDouble());
            Threads.pause(2_000 + random.nextInt(3_000));
            server.setFault(fault, 0);
        }
    },
    SERVERS_HANG {
        @Override
        void inject(SoakEnvironment environment, SplittableRandom random) throws IOException {
            List<StorageServer> hanging = environment.servers.stream()
                    .filter(ignored -> random.nextBoolean())
                    .toList();
            hanging.forEach(server -> server.setFault(ResponseFault.HANG, 1));
            Threads.pause(2_000 + random.nextInt(3_000));
            hanging.forEach(server -> server.setFault(ResponseFault.HANG, 0));
        }
    },
    SERVER_RESETS {
        @Override
        void inject(SoakEnvironment environment, SplittableRandom random) throws IOException {
            for (int i = 0; i < 8; i++) {
                server(environment, random).resetAll();
                Threads.pause(random.nextInt(300));
            }
        }
    },
    SERVER_CLOSES_IDLE_EARLY {
        @Override
        void inject(SoakEnvironment environment, SplittableRandom random) throws IOException {
            StorageServer server = server(environment, random);
            server.setIdleTimeout(20 + random.nextInt(200));
            Threads.pause(4_000);
            server.setIdleTimeout(SoakEnvironment.idleTimeoutMillis());
        }
    },
    NETWORK_CUT {
        @Override
        void inject(SoakEnvironment environment, SplittableRandom random) throws IOException {
            server(environment, random).proxy.partition(300 + random.nextInt(4_000));
        }
    },
    CONNECTIONS_LATE {
        @Override
        void inject(SoakEnvironment environment, SplittableRandom random) throws IOException {
            environment.servers.forEach(StorageServer::resetAll);
            environment.servers.forEach(server -> server.proxy.delayConnections(200 + random.nextInt(1_500)));
        }
    },
    CLIENTS_LEAVE_IN_A_BURST {
        @Override
        void inject(SoakEnvironment environment, SplittableRandom random) throws IOException {
            CONNECTIONS_LATE.inject(environment, random);
            environment.gateways.forEach(gateway -> gateway.startDisconnectBurst(DISCONNECT_BURST_MILLIS));
        }
    },
    NETWORK_ROUGH {
        @Override
        void inject(SoakEnvironment environment, SplittableRandom random) throws IOException {
            environment.servers.forEach(server -> server.proxy.degrade(0.03, true));
            Threads.pause(2_000 + random.nextInt(3_000));
            environment.servers.forEach(server -> server.proxy.degrade(0, false));
        }
    },
    DISCOVERY_DOWN {
        @Override
        void inject(SoakEnvironment environment, SplittableRandom random) throws IOException {
            setDiscoveryMode(environment, random, random.nextBoolean() ? Mode.DOWN : Mode.REFUSING);
        }
    },
    DISCOVERY_CROWDED {
        @Override
        void inject(SoakEnvironment environment, SplittableRandom random) throws IOException {
            environment.discovery.closeAll();
            setDiscoveryMode(environment, random, Mode.PARTLY_UNAVAILABLE);
        }
    },
    DISCOVERY_SLOW {
        @Override
        void inject(SoakEnvironment environment, SplittableRandom random) throws IOException {
            environment.discovery.closeAll();
            setDiscoveryMode(environment, random, Mode.SLOW);
        }
    },
    WATCHES_SILENT {
        @Override
        void inject(SoakEnvironment environment, SplittableRandom random) {
            environment.discovery.silenceWatches();
        }
    },
    BAD_CLIENTS {
        @Override
        void inject(SoakEnvironment environment, SplittableRandom random) throws IOException {
            for (int i = 0; i < 24; i++) {
                GatewayProcess gateway = gateway(environment, random);
                if (gateway.state() == GatewayProcess.State.READY) {
                    MisbehavingClient.Misuse misuse =
                            MisbehavingClient.Misuse.values()[random.nextInt(MisbehavingClient.Misuse.values().length)];
                    Threads.start(
                            "bad-client", new MisbehavingClient(gateway, environment.ledger, misuse, random.split()));
                }
                Threads.pause(random.nextInt(120));
            }
        }
    },
    IDLE_CROWD {
        @Override
        void inject(SoakEnvironment environment, SplittableRandom random) throws IOException {
            GatewayProcess gateway = gateway(environment, random);
            gateway.markSocketsExhausted(6_000);
            List<Socket> idleConnections = new ArrayList<>();
            try {
                for (int i = 0; i < 400 && gateway.state() == GatewayProcess.State.READY; i++) {
                    idleConnections.add(gateway.connect());
                }
                Threads.pause(1_500);
            } finally {
                idleConnections.forEach(random.nextBoolean() ? Sockets::reset : Sockets::close);
            }
        }
    },
    WALL_CLOCK_STEPPED {
        @Override
        void inject(SoakEnvironment environment, SplittableRandom random) throws IOException {
            long seconds = random.nextBoolean() ? 3_600 : 2;
            long step = (random.nextBoolean() ? 1 : -1) * seconds * 1_000_000_000L;
            gateway(environment, random).faults().ifPresent(faults -> faults.stepWallClock(step));
        }
    },
    CALLS_FAIL {
        @Override
        void inject(SoakEnvironment environment, SplittableRandom random) throws IOException {
            failCalls(
                    environment,
                    random,
                    List.of(Call.ACCEPT, Call.SOCKET, Call.CONNECT),
                    0.1 + 0.6 * random.nextDouble());
        }
    },
    CALLS_SHORT {
        @Override
        void inject(SoakEnvironment environment, SplittableRandom random) throws IOException {
            failCalls(
                    environment,
                    random,
                    List.of(Call.SHORT_READ, Call.SHORT_WRITE, Call.INTERRUPT, Call.RESET_ERROR),
                    0.5);
        }
    };

    /** Time between a reconfiguration and SIGTERM. */
    private static final int TERMINATION_DELAY_MILLIS = 20;

    private static final long DISCONNECT_BURST_MILLIS = 2_000;

    /**
     * Injects the fault and usually waits for its end. Proxies and discovery end some faults by themselves later; a
     * step of the wall clock is not undone.
     */
    abstract void inject(SoakEnvironment environment, SplittableRandom random) throws IOException;

    private static GatewayProcess gateway(SoakEnvironment environment, SplittableRandom random) {
        return environment.gateways.get(random.nextInt(environment.gateways.size()));
    }

    private static StorageServer server(SoakEnvironment environment, SplittableRandom random) {
        List<StorageServer> servers = List.copyOf(environment.servers);
        return servers.get(random.nextInt(servers.size()));
    }

    private static void restartGracefully(GatewayProcess gateway, boolean reconfigureFirst) throws IOException {
        if (gateway.state() != GatewayProcess.State.READY) {
            return;
        }
        if (reconfigureFirst) {
            gateway.reconfigure(false);
            Threads.pause(TERMINATION_DELAY_MILLIS);
        }
        gateway.terminate();
        if (gateway.state() == GatewayProcess.State.DOWN) {
            gateway.start();
            gateway.awaitReady();
        }
    }

    private static void killAndRestart(List<GatewayProcess> gateways) throws IOException {
        List<GatewayProcess> ready = gateways.stream()
                .filter(gateway -> gateway.state() == GatewayProcess.State.READY)
                .toList();
        ready.forEach(GatewayProcess::kill);
        for (GatewayProcess gateway : ready) {
            gateway.start();
        }
        ready.forEach(GatewayProcess::awaitReady);
    }

    private static void setDiscoveryMode(SoakEnvironment environment, SplittableRandom random, Mode mode)
            throws IOException {
        environment.discovery.setMode(mode);
        Threads.pause(2_000 + random.nextInt(8_000));
        environment.discovery.setMode(Mode.UP);
    }

    private static void failCalls(
            SoakEnvironment environment, SplittableRandom random, List<Call> calls, double probability) {
        gateway(environment, random).faults().ifPresent(faults -> {
            calls.forEach(call -> faults.fail(call, probability));
            Threads.pause(1_000 + random.nextInt(3_000));
            calls.forEach(call -> faults.fail(call, 0));
        });
    }
}
