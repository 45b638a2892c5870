package brooklock.proxy;

/** The numbers of purge groups, for whoever spreads purges to hosts. */
public final class PurgeGroups {
    private PurgeGroups() {}

    /** The number by which a group is named in Brooklock-Copy. */
    public static int idOf(String name) {
        return RouteTable.purgeGroupId(name);
    }
}
