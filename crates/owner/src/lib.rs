//! Pool ownership in an entry: membership, takeover, and the loop that drives a cell.
//!
//! All durable state is in the platform's store; an entry keeps none. Each module is a thin I/O
//! layer around decisions that are made elsewhere:
//!
//! * [`follow`]: follows a table through its change feed, and reads it in full where the feed no
//!   longer has the history.
//! * [`Watch`]: configuration, workers and waves as the platform reports them.
//! * [`membership`]: which entries watch each other, and which of them owns what.
//! * `commit`: an owner's commits, in sequence, and the outcome of those that got no answer.
//! * [`AdaptiveTimeout`]: commits that time out once they take far longer than usual.
//! * `poll`: status polls of one worker, and the renewal of its lease.
//! * `pool_workers`: the workers of a pool, with their polls and orders; `order_delivery`: the
//!   delivery of one order.
//! * `advice`: one request to the advice service.
//! * `budgets`: the budgets of accounts, as a pool's owner uses and changes them.
//! * [`PoolLoads`]: the loads that owners of pools publish, as this entry's gateway knows them.
//! * `ownership`: one ownership of a pool; `pool_loop`: its loop; `log_lines`: the loop's log
//!   lines.
//! * `instance_manager`: a pool's instances; `maintain` and `relocate` carry out what [`wave`] and
//!   [`rebalance`], both pure, decide; `evacuations` tracks which workers are being evacuated,
//!   `instance_cache` caches the list of instances.
//! * `holder`: orders to the instances of a group, on behalf of the owners of their pools;
//!   `order_requests`: how these request them; [`rest`]: which instances may not be ordered yet
//!   after another holder's orders. Pure.
//! * [`Entry`]: all of it together.
//!
//! # Why a paused owner does no harm
//!
//! An owner may be suspended at any point and resume after another has taken over. Its commits
//! fail, since each is conditional on the row that the successor has replaced. Its starts fail,
//! since their deadline is fixed by the commit before them. Its requests for orders to instances
//! are valid only while it owns the pool. Its renewals can't outlast the wait of the successor,
//! since the end of each lease is computed from the last moment at which the store confirmed the
//! ownership, on the worker's clock as it was known then.

mod adaptive_timeout;
mod advice;
mod budgets;
mod cancels;
mod cleanup;
mod clock;
mod commit;
mod control;
mod entry;
mod evacuations;
mod event;
mod fence;
pub mod follow;
mod holder;
mod instance_cache;
mod instance_manager;
mod jobs;
mod load;
mod log_digest;
mod log_lines;
mod maintain;
pub mod membership;
mod observe;
mod order_delivery;
mod order_requests;
mod ownership;
mod poll;
mod pool_loads;
mod pool_loop;
mod pool_workers;
mod published;
mod reassigned;
pub mod rebalance;
mod relocate;
pub mod rest;
mod terminations;
mod tombstones;
mod watch;
pub mod wave;

pub use adaptive_timeout::AdaptiveTimeout;
pub use clock::Clock;
pub use entry::{Bounds, Components, Entry};

pub use observe::{NoopObserver, Observer};
pub use pool_loads::{PoolLoads, Received};
pub use watch::{Watch, instructions_wait};
