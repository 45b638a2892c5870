package brooklock.routing;

/**
 * The furthest tier (cache, parent or origin) that {@link FillAdmission} allows an attempt to use.
 */
enum AdmittedTier {
    /** No tier: the request is not admitted at present. */
    NONE,
    /** The endpoint may serve its cached copy but may not fill. */
    CACHE,
    /** The endpoint may fill from a copy that the parent has cached. */
    PARENT,
    /** The endpoint may fill, and its parent may fetch from the origin. */
    ORIGIN
}
