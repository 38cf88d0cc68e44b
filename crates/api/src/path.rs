//! Paths on the admin address, in one place for both sides.

/// Whether the process runs; for restarting it.
pub const HEALTHZ: &str = "/healthz";
/// Whether the balancer should send callers here.
pub const READYZ: &str = "/readyz";
/// Metrics in Prometheus form.
pub const METRICS: &str = "/metrics";
/// All templates; one is below its name.
pub const ACCOUNTS: &str = "/v1/accounts";
/// What a template would change, posted here.
pub const DIFF: &str = "/v1/diff";
/// All services.
pub const SERVICES: &str = "/v1/services";
/// All pools.
pub const POOLS: &str = "/v1/pools";
/// All instances; orders are below their names.
pub const INSTANCES: &str = "/v1/instances";
/// All jobs, and where new ones are posted; one is below its name.
pub const JOBS: &str = "/v1/jobs";
/// Where cancellations of jobs are posted.
pub const CANCEL: &str = "/v1/jobs/cancel";
/// Registered entries; one is removed below its name.
pub const ENTRIES: &str = "/v1/entries";
/// All waves; a wave is started here, and commanded below its name.
pub const WAVES: &str = "/v1/waves";
/// What a wave would do, posted here.
pub const WAVE_PLAN: &str = "/v1/wave-plan";
/// How the system stands.
pub const STATUS: &str = "/v1/status";
/// The audit trail.
pub const AUDIT: &str = "/v1/audit";
