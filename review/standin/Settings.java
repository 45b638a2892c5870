import java.util.List;

/** Configurations in the form of DEPLOY.md, with settings like those of a small shop deployment. */
final class Settings {
    static final String LISTEN = "@LISTEN@";

    private Settings() {}

    static String entry(String name, String address, String type, String status, long sinceMs) {
        return "{\"name\":\"" + name + "\",\"address\":\"" + address + "\",\"zone\":\"branch\",\"type\":\"" + type
                + "\",\"group\":1,\"status\":\"" + status + "\",\"weight\":1,\"since_ms\":" + sinceMs + "}";
    }

    static String nodes(int index, boolean snapshot, List<String> entries) {
        return "\"nodes\":{\"index\":" + index + ",\"snapshot\":" + snapshot + ",\"endpoints\":[" + String.join(",", entries) + "]}";
    }

    /** LANES and THROUGH: the classes and which of them run at the origin. */
    static String config(int port, String channel, List<String> entries, int sockets, String lanes, String through, String goodFor) {
        return "{\"name\":\"n1\",\"listen\":\"127.0.0.1:" + port + "\",\"seed\":\"8c1f30d27a5be964\","
                + "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":" + sockets + "},"
                + "\"channel\":\"" + channel + "\",\"flow_bytes_per_s\":310000,\"link_bytes_per_s\":1240000,"
                + "\"known\":{\"cursor\":1,\"cmds\":[{\"cursor\":1," + nodes(1, true, entries) + "}]},"
                + "\"settings\":{\"balancers\":3,\"clients\":{\"marksRetry\":false},\"dcs\":[\"branch\"],\"discovery\":\"push\","
                + "\"extra\":{\"byteFee\":0.04,\"goesThrough\":" + through + ",\"goneEverywhereNs\":6000000000,\"goodForNs\":" + goodFor
                + ",\"graceForNs\":" + goodFor.replaceAll("[1-9][0-9]*", "0") + ",\"hubByZone\":[0],\"inletKbPerS\":[0.0],\"joins\":true,"
                + "\"neighbours\":\"off\",\"notesGiven\":\"all\",\"oneFlowKbPerS\":7600.0,\"originBearsNs\":3000000000,"
                + "\"originLimitFactor\":0.0,\"parentLimitFactor\":2.0,\"parentRampNs\":21000000000,\"parentStartsAt\":0.064,"
                + "\"passThroughOk\":true,\"purgeGraceNs\":500000000,\"seatsByZone\":[3],\"secondTierKind\":1,\"storeKind\":2},"
                + "\"family\":\"edge\",\"invariants\":{\"coldFrom\":0.19,\"coldNs\":15000000000,\"fallMultiple\":2.0,"
                + "\"graceToAnswerNs\":8000000,\"mustAskInNs\":10000000000,\"overloadForNs\":2000000000,\"stopSendingWithinNs\":2000000000},"
                + "\"lanes\":" + lanes + ",\"limits\":{\"cancel\":true,\"connIdleNs\":15000000000,\"connectTimeoutNs\":400000000,"
                + "\"maxOpen\":23210,\"maxRetryAfterNs\":500000000,\"mayDuplicate\":true,\"peers\":false,\"probing\":false,"
                + "\"retryAfter\":true,\"streamsPerConn\":100,\"tryLimit\":6},"
                + "\"machineTypes\":[\"std\",\"parent\",\"origin\"],\"ordinal\":0,\"report\":{\"fields\":[],\"source\":\"off\"},"
                + "\"tenants\":[],\"tickNs\":2000000,\"tier\":0,\"tiers\":[\"shop-cache\"],\"weights\":\"off\",\"worthBy\":\"request\",\"zone\":0}}";
    }

    static String lane(String name, String effect, int giveUpMs, int onTimeMs, int windowMs) {
        return "{\"aimStretch\":2.0,\"effect\":\"" + effect + "\",\"giveUpNs\":" + giveUpMs + "000000,\"keyScope\":\"all\",\"lateWorth\":0.1,"
                + "\"name\":\"" + name + "\",\"onTimeNs\":" + onTimeMs + "000000,\"streamed\":false,\"windowNs\":" + windowMs
                + "000000,\"worth\":1.0}";
    }

    /** The classes of the shop: item-media, shop-page and purchase. */
    static String shopLanes() {
        return "[" + lane("item-media", "read_like", 5000, 600, 5000) + "," + lane("shop-page", "read_like", 2500, 300, 5000) + ","
                + lane("purchase", "idempotency_key", 3000, 700, 3000) + "]";
    }
}
