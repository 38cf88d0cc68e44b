//! The callers' side of an entry: jobs are submitted, asked for, cancelled and counted here.
//!
//! A gateway decides nothing about jobs. It writes what callers ask for into the store, and reads
//! there what owners have committed, so any gateway answers for any job, and none has to know the
//! owner. Accepted means stored: the success answer follows the commit.
//!
//! What an answer proves:
//!
//! * A success: the job, or the cancel, is stored.
//! * 429 or 503: the submission isn't stored and never will be. Given only where every attempt ended
//!   with a proof of that.
//! * 504: the store didn't say. The same id may be sent again at any gateway: all attempts meet the
//!   same row, so it remains one job.
//!
//! * [`routes`]: which queue a request is for. Pure.
//! * [`Gateway`]: the requests, as gotham handlers.
//! * [`Readiness`]: what the balancer asks for.

mod answer;
mod gateway;
mod patience;
mod ready;
pub mod routes;
mod states;

pub use gateway::{Answered, Gateway, Observer, Parts};
pub use ready::Readiness;
