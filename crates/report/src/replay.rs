//! Replays the audit trail.

use crate::{
    report::{Period, Report},
    rows::Rows,
    series::Series,
    tally::Tally,
};
use primroseroute_domain::{
    change::{Record, Seq},
    time::Instant,
};
use primroseroute_fleet::placement::Weights;
use std::sync::Arc;

/// Error while replaying a trail.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// A record is missing.
    #[error("the trail has change {found} where change {expected} should be")]
    Gap {
        /// The expected sequence number.
        expected: Seq,
        /// The sequence number of the record that was passed.
        found: Seq,
    },
    /// A row of a record cannot be parsed.
    #[error("change {seq} holds a row `{key}` that cannot be read: {detail}")]
    Corrupt {
        /// The record's sequence number.
        seq: Seq,
        /// The row's key.
        key: Arc<str>,
        /// The parse error.
        detail: String,
    },
}

/// Result of a replay.
#[derive(Clone, Debug, PartialEq)]
pub struct ReplayResult {
    /// The costs of the period.
    pub report: Report,
    /// Instances of each pool over time.
    pub series: Series,
}

/// A replay in progress.
#[derive(Clone, Debug)]
pub struct Replay {
    period: Period,
    weights: Weights,
    /// Sequence number of the last applied record.
    seq: Seq,
    /// Time of that record, never earlier than that of the one before it.
    at: Instant,
    rows: Rows,
    /// `None` until the period begins.
    tally: Option<Tally>,
}

impl Replay {
    /// Creates a replay for `period` that starts with the trail's first change.
    ///
    /// `weights` are those of the deployment; only the lower bound of the buffer cost depends on them.
    pub fn new(period: Period, weights: Weights) -> Self {
        let to = period.to.max(period.from);
        Self {
            period: Period { to, ..period },
            weights,
            seq: Seq(0),
            at: Instant(0),
            rows: Rows::default(),
            tally: None,
        }
    }

    /// Sequence number of the last applied record, after which reading continues.
    pub fn last_seq(&self) -> Seq {
        self.seq
    }

    /// Whether the last applied record is after the period, so that later ones have no effect.
    pub fn is_past(&self) -> bool {
        self.at >= self.period.to
    }

    /// Applies the next record of the trail.
    ///
    /// # Errors
    /// [`Error`]; the replay must not be used after that.
    pub fn apply(&mut self, record: &Record) -> Result<(), Error> {
        let expected = self.seq.next();
        if record.seq != expected {
            return Err(Error::Gap {
                expected,
                found: record.seq,
            });
        }
        self.seq = record.seq;
        self.at = self.at.max(record.at);
        if self.is_past() {
            return Ok(());
        }
        if self.at <= self.period.from {
            return self.rows.apply(record);
        }
        self.apply_in_period(record)
    }

    fn apply_in_period(&mut self, record: &Record) -> Result<(), Error> {
        let (rows, at) = (&mut self.rows, self.at);
        let (from, weights) = (self.period.from, self.weights);
        let tally = self
            .tally
            .get_or_insert_with(|| Tally::begin(rows, from, weights));
        tally.advance(rows, at);
        let before = rows.fleet.clone();
        rows.apply(record)?;
        tally.record_change(&before, rows, at);
        Ok(())
    }

    /// Finishes the replay with the records applied so far.
    pub fn finish(self) -> ReplayResult {
        let Self {
            period,
            weights,
            rows,
            tally,
            ..
        } = self;
        let tally = tally.unwrap_or_else(|| Tally::begin(&rows, period.from, weights));
        let (report, series) = tally.end(&rows, period);
        ReplayResult { report, series }
    }
}
