package brooklock.proxy;

/** The identifiers of purge groups, for whoever sends purges to caches. */
public final class PurgeGroups {
    private PurgeGroups() {}

    /**
     * Returns the identifier that Brooklock-Copy has for a group.
     *
     * @param name the group's name
     * @return a number above 0, the same at every dispatcher
     */
    public static int idOf(String name) {
        return RouteTable.purgeGroupId(name);
    }
}
