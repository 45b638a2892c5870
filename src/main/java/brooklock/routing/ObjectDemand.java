package brooklock.routing;

/** The demand for one object in one interval of the {@link HotList}. State only. */
final class ObjectDemand {
    /** The number of requests; parts requested in ascending order count as one. */
    int requests;

    /** The part requested last; -1 before the first request. */
    int lastPart = -1;

    /** The shortest time in which a copy was sent, in nanoseconds; 0 while none is known. */
    double workNs;
}
