//! URL paths of the admin API, shared by server and client.

/// Liveness check, used to decide on a restart of the process.
pub const HEALTHZ: &str = "/healthz";
/// Readiness check for the load balancer.
pub const READYZ: &str = "/readyz";
/// Metrics in the Prometheus text format.
pub const METRICS: &str = "/metrics";
/// All templates; a single one is at its name below this path.
pub const ACCOUNTS: &str = "/v1/accounts";
/// POST: what a template would change.
pub const DIFF: &str = "/v1/diff";
/// All services.
pub const SERVICES: &str = "/v1/services";
/// All pools.
pub const POOLS: &str = "/v1/pools";
/// All instances; requests on one are below its name.
pub const INSTANCES: &str = "/v1/instances";
/// All jobs; POST submits new ones. A single job is at its name below this path.
pub const JOBS: &str = "/v1/jobs";
/// POST: cancels jobs.
pub const CANCEL: &str = "/v1/jobs/cancel";
/// Registered entries; removal of one is below its name.
pub const ENTRIES: &str = "/v1/entries";
/// All waves; POST starts one. Commands on a wave are below its name.
pub const WAVES: &str = "/v1/waves";
/// POST: what a wave would do.
pub const WAVE_PLAN: &str = "/v1/wave-plan";
/// Status of the system.
pub const STATUS: &str = "/v1/status";
/// The audit trail.
pub const AUDIT: &str = "/v1/audit";
