package brooklock.routing;

/** What is known of one object in one interval of the {@link HotList}. State only. */
final class ObjectDemand {
    /** Requests for it; its parts requested in their order count as one. */
    int requests;

    /** The part requested last, -1 before the first. */
    int lastPart = -1;

    /** The least time in which a copy of it was sent, ns; 0 while none is known. */
    double workNs;
}
