import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.stream.Stream;

/** A run of a case: its folder, its settings, what it started, and its exit status. */
final class Run {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int NOT_RUN = 2;

    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    static final Queue<Request> REQUESTS = new ConcurrentLinkedQueue<>();
    static volatile int unaskedAnswers;

    /** A case; returns the exit status. */
    interface Body {
        int run(Path folder) throws Exception;
    }

    private static final List<AutoCloseable> STARTED = new ArrayList<>();

    private Run() {}

    static void main(String[] args, Body body) throws IOException {
        Record.open(Path.of(args[0], "record.txt"));
        Path folder = Files.createTempDirectory("review-2-");
        Runtime.getRuntime().addShutdownHook(new Thread(Run::closeAll));
        Thread watchdog =
                new Thread(
                        () -> {
                            try {
                                Thread.sleep(110_000);
                            } catch (InterruptedException e) {
                                return;
                            }
                            System.out.println("the case took too long");
                            closeAll();
                            Runtime.getRuntime().halt(NOT_RUN);
                        });
        watchdog.setDaemon(true);
        watchdog.start();
        int status;
        try {
            status = body.run(folder);
        } catch (Exception e) {
            e.printStackTrace();
            Record.show("the case could not run: %s", e);
            status = NOT_RUN;
        }
        closeAll();
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                if (System.getenv("KEEP_LOGS") == null) {
                    Files.delete(file);
                }
            }
        }
        Record.show("exit status %d (trouble %s)", status, TROUBLE ? "on" : "off");
        Record.close();
        Runtime.getRuntime().halt(status);
    }

    static <T extends AutoCloseable> T closing(T started) {
        synchronized (STARTED) {
            STARTED.add(started);
        }
        return started;
    }

    private static void closeAll() {
        synchronized (STARTED) {
            for (AutoCloseable started : STARTED) {
                try {
                    started.close();
                } catch (Exception e) {
                    // Closed already.
                }
            }
            STARTED.clear();
        }
    }

    static Thread daemon(String name, Runnable task) {
        Thread thread = new Thread(null, task, name, 256 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    static String endpoint(String name, String address, String type, String status, long sinceMs) {
        return String.format(
                "{\"name\":\"%s\",\"address\":\"%s\",\"zone\":\"main\",\"type\":\"%s\",\"group\":1,"
                        + "\"status\":\"%s\",\"weight\":4,\"since_ms\":%d}",
                name, address, type, status, sinceMs);
    }

    static String nodes(int index, boolean snapshot, String... endpoints) {
        return String.format(
                "\"nodes\":{\"index\":%d,\"snapshot\":%b,\"endpoints\":[%s]}",
                index, snapshot, String.join(",", endpoints));
    }

    /** The settings of shop-cache in the form of the configuration. */
    static final String SHOP_SETTINGS =
            "{'balancers':3,'clients':{'marksRetry':true},'dcs':['main'],'discovery':'push',"
                    + "'extra':{'byteFee':0.04,'goesThrough':[false,false,true],'goneEverywhereNs':6000000000,"
                    + "'goodForNs':[0,0,0],'graceForNs':[0,0,0],'hubByZone':[0],'inletKbPerS':[0.0],'joins':true,"
                    + "'multiPart':[false,false,false],'neighbours':'any','notesGiven':'all','oneFlowKbPerS':4000.0,"
                    + "'originBearsNs':3000000000,'originLimitFactor':0.0,'parentLimitFactor':2.0,"
                    + "'parentRampNs':21000000000,'parentStartsAt':0.064,'passThroughOk':true,"
                    + "'purgeGraceNs':500000000,'seatsByZone':[3],'secondTierKind':1,'storeKind':2,"
                    + "'worthWhenOld':[0.7,0.7,0.7]},"
                    + "'family':'edge',"
                    + "'goal':{'whole':0.5,'worstClass':0.2,'worstTenant':0.0,'worstWindow':0.3},"
                    + "'invariants':{'coldFrom':0.19,'coldNs':15000000000,'fallMultiple':2.0,"
                    + "'graceToAnswerNs':50000000,'mustAskInNs':10000000000,'overloadForNs':2000000000,"
                    + "'stopSendingWithinNs':2000000000},"
                    + "'lanes':[{'aimStretch':2.0,'effect':'read_like','giveUpNs':5000000000,'keyScope':'all',"
                    + "'lateWorth':0.15,'name':'item-media','onTimeNs':600000000,'streamed':false,"
                    + "'windowNs':5000000000,'worth':2.0},"
                    + "{'aimStretch':2.0,'effect':'read_like','giveUpNs':2500000000,'keyScope':'all',"
                    + "'lateWorth':0.2,'name':'shop-page','onTimeNs':300000000,'streamed':false,"
                    + "'windowNs':5000000000,'worth':1.0},"
                    + "{'aimStretch':0.0,'effect':'idempotency_key','giveUpNs':3000000000,'keyScope':'all',"
                    + "'lateWorth':0.0,'name':'purchase','onTimeNs':700000000,'streamed':false,"
                    + "'windowNs':3000000000,'worth':3.0}],"
                    + "'limits':{'cancel':true,'connIdleNs':30000000000,'connectTimeoutNs':400000000,"
                    + "'cpuUsPerRequest':0.0,'cpuUsPerS':500000,'maxOpen':23210,'maxRetryAfterNs':2000000000,"
                    + "'mayDuplicate':true,'peers':false,'probing':false,'retryAfter':true,'streamsPerConn':100,"
                    + "'tryLimit':6},"
                    + "'machineTypes':['std','parent','origin'],'ordinal':0,'overShareWorth':0.1,"
                    + "'report':{'fields':[],'source':'off'},'tenants':[],'tickNs':2000000,'tier':0,"
                    + "'tiers':['edge-fleet'],'weights':'nominal','worthBy':'request','zone':0}";

    /** The settings of plant-caches in the form of the configuration, with one zone. */
    static final String PLANT_SETTINGS =
            "{'balancers':4,'clients':{'marksRetry':true},'dcs':['main'],'discovery':'push',"
                    + "'extra':{'byteFee':0.04,'goesThrough':[false,false,true],'goneEverywhereNs':6000000000,"
                    + "'goodForNs':[0,8000000000,0],'graceForNs':[0,0,0],'hubByZone':[0],'inletKbPerS':[0.0],'joins':true,"
                    + "'multiPart':[true,false,false],'neighbours':'off','notesGiven':'all','oneFlowKbPerS':4000.0,"
                    + "'originBearsNs':3000000000,'originLimitFactor':0.0,'parentLimitFactor':2.0,"
                    + "'parentRampNs':21000000000,'parentStartsAt':0.063,'passThroughOk':true,"
                    + "'purgeGraceNs':300000000,'seatsByZone':[4],'secondTierKind':1,'storeKind':2,"
                    + "'worthWhenOld':[0.7,0.7,0.7]},"
                    + "'family':'edge',"
                    + "'goal':{'whole':0.5,'worstClass':0.3,'worstTenant':0.0,'worstWindow':0.2},"
                    + "'invariants':{'coldFrom':0.23,'coldNs':17000000000,'fallMultiple':2.0,"
                    + "'graceToAnswerNs':50000000,'mustAskInNs':10000000000,'overloadForNs':3000000000,"
                    + "'stopSendingWithinNs':250000000},"
                    + "'lanes':[{'aimStretch':1.6,'effect':'read_like','giveUpNs':6000000000,'keyScope':'all',"
                    + "'lateWorth':0.15,'name':'forecast-files','onTimeNs':600000000,'streamed':false,"
                    + "'windowNs':6000000000,'worth':2.0},"
                    + "{'aimStretch':2.0,'effect':'read_like','giveUpNs':3000000000,'keyScope':'all',"
                    + "'lateWorth':0.2,'name':'status-pages','onTimeNs':250000000,'streamed':false,"
                    + "'windowNs':6000000000,'worth':1.0},"
                    + "{'aimStretch':0.0,'effect':'idempotency_key','giveUpNs':3000000000,'keyScope':'all',"
                    + "'lateWorth':0.0,'name':'bid-submit','onTimeNs':700000000,'streamed':false,"
                    + "'windowNs':6000000000,'worth':4.0}],"
                    + "'limits':{'cancel':true,'connIdleNs':15000000000,'connectTimeoutNs':400000000,"
                    + "'cpuUsPerRequest':0.0,'cpuUsPerS':500000,'maxOpen':23210,'maxRetryAfterNs':500000000,"
                    + "'mayDuplicate':true,'peers':false,'probing':false,'retryAfter':true,'streamsPerConn':32,"
                    + "'tryLimit':6},"
                    + "'machineTypes':['std','parent','origin'],'ordinal':0,'overShareWorth':0.1,"
                    + "'report':{'fields':[],'source':'off'},'tenants':[],'tickNs':2000000,'tier':0,"
                    + "'tiers':['cache-fleet'],'weights':'nominal','worthBy':'request','zone':0}";

    /** The settings of clinic-notes in the form of the configuration. */
    static final String CLINIC_SETTINGS =
            "{'balancers':3,'clients':{'marksRetry':true},'dcs':['main'],'discovery':'push',"
                    + "'extra':{'byteFee':0.03,'goesThrough':[false,false,true],'goneEverywhereNs':6000000000,"
                    + "'goodForNs':[0,0,0],'graceForNs':[0,0,0],'hubByZone':[0],'inletKbPerS':[0.0],'joins':false,"
                    + "'multiPart':[false,false,false],'neighbours':'off','notesGiven':'all','oneFlowKbPerS':4000.0,"
                    + "'originBearsNs':3000000000,'originLimitFactor':0.0,'parentLimitFactor':2.5,"
                    + "'parentRampNs':20000000000,'parentStartsAt':0.07,'passThroughOk':true,"
                    + "'purgeGraceNs':400000000,'seatsByZone':[3],'secondTierKind':1,'storeKind':2,"
                    + "'worthWhenOld':[0.7,0.7,0.7]},"
                    + "'family':'edge',"
                    + "'goal':{'whole':0.6,'worstClass':0.2,'worstTenant':0.0,'worstWindow':0.2},"
                    + "'invariants':{'coldFrom':0.2,'coldNs':15000000000,'fallMultiple':3.0,"
                    + "'graceToAnswerNs':50000000,'mustAskInNs':10000000000,'overloadForNs':2500000000,"
                    + "'stopSendingWithinNs':1500000000},"
                    + "'lanes':[{'aimStretch':2.0,'effect':'read_like','giveUpNs':4500000000,'keyScope':'all',"
                    + "'lateWorth':0.2,'name':'ward-list','onTimeNs':450000000,'streamed':false,"
                    + "'windowNs':4500000000,'worth':2.0},"
                    + "{'aimStretch':2.0,'effect':'read_like','giveUpNs':4500000000,'keyScope':'all',"
                    + "'lateWorth':0.2,'name':'ward-page','onTimeNs':450000000,'streamed':false,"
                    + "'windowNs':4500000000,'worth':2.0},"
                    + "{'aimStretch':2.0,'effect':'idempotency_key','giveUpNs':4000000000,'keyScope':'all',"
                    + "'lateWorth':0.1,'name':'note-append','onTimeNs':800000000,'streamed':false,"
                    + "'windowNs':1600000000,'worth':4.0}],"
                    + "'limits':{'cancel':false,'connIdleNs':20000000000,'connectTimeoutNs':500000000,"
                    + "'cpuUsPerRequest':0.0,'cpuUsPerS':500000,'maxOpen':23210,'maxRetryAfterNs':1500000000,"
                    + "'mayDuplicate':true,'peers':false,'probing':false,'retryAfter':false,'streamsPerConn':100,"
                    + "'tryLimit':3},"
                    + "'machineTypes':['std','parent','origin'],'ordinal':0,'overShareWorth':0.1,"
                    + "'report':{'fields':[],'source':'off'},'tenants':[],'tickNs':2000000,'tier':0,"
                    + "'tiers':['ward-cache'],'weights':'off','worthBy':'request','zone':0}";

    static String config(Node node, Channel channel, int memoryMb, int sockets, String settings) {
        return String.format(
                        "{'name':'%s','listen':'%s','seed':'%016x','limits':{'cores':1.0,"
                                + "'memory_mb':%d,'sockets':%d},'channel':'%s','flow_bytes_per_s':310000,"
                                + "'link_bytes_per_s':1240000,",
                        node.name, node.listen(), node.name.hashCode() * 0x9e3779b97f4a7c15L, memoryMb, sockets, channel.address())
                .replace('\'', '"')
                + "\"known\":" + channel.known() + ",\"settings\":" + settings.replace('\'', '"') + "}";
    }

    /**
     * Judges the rule on lost requests: each request gets exactly one final answer, half a second
     * after its time at the latest. Call it when that time has passed for all.
     */
    static int judgeAnswers() {
        int lost = 0;
        int late = 0;
        int total = 0;
        int served = 0;
        int refused = 0;
        int failed = 0;
        for (Request request : REQUESTS) {
            total++;
            if (request.answers == 1) {
                served += "served".equals(request.answer) ? 1 : 0;
                refused += "Overloaded".equals(request.answer) ? 1 : 0;
                failed += "served".equals(request.answer) || "Overloaded".equals(request.answer) ? 0 : 1;
            }
            if (request.answers != 1) {
                lost++;
                Record.add("LOST: %s of %s, sent at %.1f, answers %d, its connection %s", request, request.client.name,
                        request.sentAtMs, request.answers,
                        request.client.ended == null ? "is open" : "ended: " + request.client.ended);
            } else if (request.answeredAtMs > request.sentAtMs + request.deadlineMs + 500) {
                late++;
                Record.add("LOST: %s of %s, sent at %.1f, answered %.1f ms later", request, request.client.name,
                        request.sentAtMs, request.answeredAtMs - request.sentAtMs);
            }
        }
        Record.show("%d requests: %d served, %d refused, %d failed; lost: %d without one answer, %d answered over 500 ms"
                + " after their time; %d answers nobody asked for", total, served, refused, failed, lost, late, unaskedAnswers);
        return lost + late + unaskedAnswers > 0 ? BROKEN : HELD;
    }
}
