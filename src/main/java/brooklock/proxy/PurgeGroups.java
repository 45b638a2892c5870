package brooklock.proxy;

/** Computes the identifiers of purge groups for senders of purges to caches. Stateless. */
public final class PurgeGroups {
    private PurgeGroups() {}

    /**
     * Returns the identifier of a group in the field Brooklock-Copy.
     *
     * @param name the group's name
     * @return a number above 0 that is the same for every dispatcher
     */
    public static int idOf(String name) {
        return RouteTable.purgeGroupId(name);
    }
}
